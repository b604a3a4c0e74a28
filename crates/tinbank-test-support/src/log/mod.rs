//! The platform's log in memory, with faults that tests switch on.
//!
//! It waits by tokio's clock, so that a test under `tokio::time::pause` runs at once and always the same way.

mod state;

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use tinbank_base::{
    id,
    platform::log::{Bounds, Entry, Error, Log, Page, Stream},
    record::Envelope,
};
use tokio::{sync::Notify, time};

use self::state::{Rate, State};

/// Largest record that [`Memory`] takes, in bytes.
pub const LIMIT: usize = 1 << 20;

/// What happens to one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It works, and the answer is lost.
    LostAfter,
    /// It does not work, and the caller can't tell.
    LostBefore,
    /// It works at once, and the answer comes late.
    SlowAnswer(Duration),
    /// It takes effect late, after the answer was lost.
    LateEffect(Duration),
    /// The service refuses it.
    Refused,
}

/// An append-only log in memory. Clones share their contents.
#[derive(Clone, Default)]
pub struct Memory {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.lock();
        f.debug_struct("Memory")
            .field("streams", &state.streams.len())
            .field("outage", &state.outage)
            .finish()
    }
}

impl Memory {
    /// An empty log without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Switches an outage on or off. During it every call fails as [`Error::Unavailable`], waiting reads too.
    pub fn outage(&self, on: bool) {
        self.lock().outage = on;
        self.shared.changed.notify_waiters();
    }

    /// Gives a fault to the next append that has none yet.
    pub fn fault_next_append(&self, fault: Fault) {
        self.lock().faults.push_back(fault);
    }

    /// Delays every call from now on.
    pub fn delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Limits appends a second over all streams; `None` takes the limit away.
    pub fn limit_appends(&self, per_second: Option<u32>) {
        self.lock().rate = per_second.map(|per_second| Rate {
            per_second,
            began: time::Instant::now(),
            used: 0,
        });
    }

    /// Drops the records before an offset, as retention does.
    pub fn trim(&self, stream: Stream, first: id::Offset) {
        let mut state = self.lock();
        let contents = state.streams.entry(stream).or_default();
        while contents.first < first && contents.entries.pop_front().is_some() {
            contents.first += 1;
        }
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// The records that a stream holds now.
    pub fn entries(&self, stream: Stream) -> Vec<Entry> {
        let state = self.lock();
        let Some(contents) = state.streams.get(&stream) else {
            return Vec::new();
        };
        contents.from(contents.first)
    }

    /// The decoded envelopes that a stream holds now; what can't be decoded is left out.
    pub fn envelopes<R: DeserializeOwned>(&self, stream: Stream) -> Vec<Envelope<R>> {
        self.entries(stream)
            .iter()
            .filter_map(|entry| Envelope::decode(&entry.payload).ok())
            .collect()
    }

    /// How many appends were tried, those that failed included.
    pub fn append_calls(&self) -> usize {
        self.lock().calls
    }

    /// Puts a record into a stream at once, past all faults.
    pub fn push(&self, stream: Stream, payload: Bytes) -> id::Offset {
        let offset = self.lock().push(stream, payload);
        self.shared.changed.notify_waiters();
        offset
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = &self.shared.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn reach(&self) -> Result<(), Error> {
        let delay = self.lock().delay;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        self.lock().up()
    }

    fn push_later(&self, delay: Duration, stream: Stream, payload: Bytes) {
        let memory = self.clone();
        tokio::spawn(async move {
            time::sleep(delay).await;
            memory.push(stream, payload);
        });
    }
}

#[async_trait]
impl Log for Memory {
    async fn append(&self, stream: Stream, payload: Bytes) -> Result<id::Offset, Error> {
        self.lock().calls += 1;
        self.reach().await?;
        if payload.len() > LIMIT {
            return Err(Error::TooLarge {
                size: payload.len(),
                limit: LIMIT,
            });
        }
        let fault = {
            let mut state = self.lock();
            if let Some(rate) = &mut state.rate {
                rate.take()?;
            }
            state.faults.pop_front()
        };
        let lost = || Error::Unknown("the answer was lost".to_owned());
        match fault {
            None => Ok(self.push(stream, payload)),
            Some(Fault::LostAfter) => {
                self.push(stream, payload);
                Err(lost())
            }
            Some(Fault::LostBefore) => Err(lost()),
            Some(Fault::SlowAnswer(delay)) => {
                let offset = self.push(stream, payload);
                time::sleep(delay).await;
                Ok(offset)
            }
            Some(Fault::LateEffect(delay)) => {
                self.push_later(delay, stream, payload);
                Err(lost())
            }
            Some(Fault::Refused) => Err(Error::Unavailable("refused".to_owned())),
        }
    }

    async fn read(
        &self,
        stream: Stream,
        from: id::Offset,
        limit: usize,
        until: Instant,
    ) -> Result<Page, Error> {
        self.reach().await?;
        loop {
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let page = self.lock().page(stream, from, limit)?;
            if !page.entries.is_empty() {
                return Ok(page);
            }
            let until = time::Instant::from_std(until);
            if time::timeout_at(until, changed).await.is_err() {
                return self.lock().page(stream, from, limit);
            }
        }
    }

    async fn bounds(&self, stream: Stream) -> Result<Bounds, Error> {
        self.reach().await?;
        let state = self.lock();
        let contents = state.streams.get(&stream);
        Ok(
            contents.map_or(Bounds { first: 0, tail: 0 }, |contents| Bounds {
                first: contents.first,
                tail: contents.tail(),
            }),
        )
    }
}
