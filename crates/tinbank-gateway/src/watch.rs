//! Gives up calls at the store that it will not answer any more.
//!
//! A store that was silent answers nothing that came to it meanwhile. Each call would wait for its own timeout, up to two
//! seconds after the store is back, so the first call that is answered ends the wait of all that were sent before it.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use tinbank_allocator::directory::Peer;
use tinbank_feed::source::FirstDelegate;
use tinbank_quarantine::{Fingerprint, Quarantined};
use tokio::sync::Notify;

use crate::{
    border::store::{
        Assignment, Cursor, Entries, Error, List, Membership, NewestPage, Offset, Page, Range,
        Store, TopicPartition,
    },
    clock::Clock,
    retry::Retry,
};

/// The store counts as having been away if no call was answered for this long after one had failed. Source: longer than a
/// lost packet takes, shorter than any outage that the platform speaks of.
const AWAY: Duration = Duration::from_millis(400);

/// The calls under way, in the order in which they began.
#[derive(Debug, Default)]
pub struct Watch {
    began: Cell<u64>,
    /// Since when calls fail.
    failing_since: Cell<Option<Instant>>,
    /// Calls that began before this one are given up.
    answered: Cell<u64>,
    back: Notify,
}

impl Watch {
    /// Makes a call, and gives it up once a later one is answered after the store was away. Its effect is unknown then.
    pub async fn call<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let number = self.began.get() + 1;
        self.began.set(number);
        let mut call = pin!(call);
        loop {
            let back = self.back.notified();
            tokio::select! {
                ended = &mut call => {
                    self.note(number, &ended);
                    return ended;
                }
                () = back => {}
            }
            if number < self.answered.get() {
                return Err(Error::Unknown(
                    "given up, later calls are answered".to_owned(),
                ));
            }
        }
    }

    fn note<T>(&self, number: u64, ended: &Result<T, Error>) {
        // A call that is refused is answered, and says nothing of those under way.
        if let Err(Error::Busy(_)) = ended {
            return;
        }
        if let Err(Error::Unknown(_) | Error::NoEffect(_)) = ended {
            let since = self.failing_since.get();
            self.failing_since.set(since.or(Some(Instant::now())));
            return;
        }
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if since.elapsed() >= AWAY {
            log::info!(away_ms = since.elapsed().as_millis() as u64; "store answers again, calls sent before are given up");
            self.answered.set(number);
            self.back.notify_waiters();
        }
    }
}

/// What a call has read, unless the process was paused meanwhile.
pub async fn unpaused<T>(
    clock: &Clock,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let paused = || Error::Unknown("the process was paused meanwhile".to_owned());
    clock.discard_if_paused(call).await.ok_or_else(paused)?
}

/// A store whose calls are watched.
pub(crate) struct Watched {
    store: Rc<dyn Store>,
    watch: Watch,
    retry: Rc<Retry>,
    clock: Rc<Clock>,
}

impl Watched {
    /// A store whose answers end the pauses of `retry`.
    pub fn new(store: Rc<dyn Store>, retry: Rc<Retry>, clock: Rc<Clock>) -> Self {
        Self {
            store,
            watch: Watch::default(),
            retry,
            clock,
        }
    }

    async fn call<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let ended = self.watch.call(call).await;
        if ended.is_ok() {
            self.retry.answered();
        }
        ended
    }

    /// A call whose answer says how things are now.
    async fn read_call<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        unpaused(&self.clock, self.call(call)).await
    }
}

#[async_trait(?Send)]
impl Store for Watched {
    async fn append(
        &self,
        at: TopicPartition,
        records: &[Bytes],
        until: Instant,
    ) -> Result<Offset, Error> {
        self.call(self.store.append(at, records, until)).await
    }

    async fn read(&self, at: TopicPartition, range: Range, until: Instant) -> Result<Page, Error> {
        self.read_call(self.store.read(at, range, until)).await
    }

    async fn read_newest(
        &self,
        list: List,
        at: Option<&Cursor>,
        until: Instant,
    ) -> Result<NewestPage, Error> {
        self.read_call(self.store.read_newest(list, at, until))
            .await
    }

    async fn read_since(
        &self,
        list: List,
        from: Offset,
        wait_ms: u64,
        until: Instant,
    ) -> Result<Entries, Error> {
        let call = self.store.read_since(list, from, wait_ms, until);
        self.read_call(call).await
    }

    async fn register(&self, host: &Peer, until: Instant) -> Result<(), Error> {
        self.call(self.store.register(host, until)).await
    }

    async fn unregister(&self, host: &Peer, until: Instant) -> Result<(), Error> {
        self.call(self.store.unregister(host, until)).await
    }

    async fn set_first_delegate(&self, lead: &FirstDelegate, until: Instant) -> Result<(), Error> {
        self.call(self.store.set_first_delegate(lead, until)).await
    }

    async fn quarantine(&self, held: &Quarantined, until: Instant) -> Result<(), Error> {
        self.call(self.store.quarantine(held, until)).await
    }

    async fn lift_quarantine(&self, request: Fingerprint, until: Instant) -> Result<(), Error> {
        self.call(self.store.lift_quarantine(request, until)).await
    }

    async fn join(&self, membership: &Membership, until: Instant) -> Result<Assignment, Error> {
        self.read_call(self.store.join(membership, until)).await
    }

    async fn leave(&self, membership: &Membership, until: Instant) -> Result<(), Error> {
        self.call(self.store.leave(membership, until)).await
    }
}
