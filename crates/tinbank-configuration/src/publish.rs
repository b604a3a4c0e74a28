//! Publishes a change and determines its verdict.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tinbank_base::{
    id,
    platform::log::{Log, Stream},
    record::config::{Put, Record},
};
use tinbank_log::{
    budget::Priority,
    reader::{Event, Reader, Settings},
    writer::{self, Writer},
};
use tokio::time;

use crate::fold::{Fold, Judged, State, Verdict};

/// Why the configuration cannot be read or changed, or why the outcome of a change is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The change is certainly not in the stream.
    #[error("not published: {reason}")]
    NotPublished {
        /// Why.
        reason: String,
    },
    /// The change may be in the stream. Publishing it again with the same id is safe and returns its verdict.
    #[error("change {change:032x} may have been published: {reason}")]
    Unknown {
        /// Id of the change.
        change: u128,
        /// Why the outcome is unknown.
        reason: String,
    },
    /// The stream cannot be read to its tail.
    #[error("the configuration can't be read: {reason}")]
    Unreadable {
        /// Why.
        reason: String,
    },
}

/// Reads the configuration and publishes changes, for the command line.
#[derive(Debug)]
pub struct Publisher {
    reader: Reader<Record>,
    writer: Writer,
    fold: Fold,
    judged: BTreeMap<u128, Judged>,
    last_error: String,
}

impl Publisher {
    /// Creates a publisher that has read nothing yet.
    pub fn new(log: Arc<dyn Log>, writer: Writer, settings: Settings) -> Self {
        Self {
            reader: Reader::new(log, Stream::Config, 0, settings),
            writer,
            fold: Fold::default(),
            judged: BTreeMap::new(),
            last_error: String::new(),
        }
    }

    /// Reads the stream to its tail and returns the state there.
    ///
    /// # Errors
    /// [`Error::Unreadable`] if the tail is not reached before `until`, or if the beginning of the stream was trimmed and
    /// there is no complete checkpoint.
    pub async fn load(&mut self, until: Instant) -> Result<&State, Error> {
        if !self.read_to_tail(until).await {
            return Err(Error::Unreadable {
                reason: self.last_error.clone(),
            });
        }
        if self.fold.has_gap() {
            let reason = "its beginning was trimmed and there is no complete checkpoint".to_owned();
            return Err(Error::Unreadable { reason });
        }
        Ok(self.fold.state())
    }

    /// Publishes a change and reads it back. Every host reaches the returned verdict.
    ///
    /// # Errors
    /// [`Error::NotPublished`], or [`Error::Unknown`] if the outcome could not be determined before `until`.
    pub async fn put(&mut self, put: Put, until: Instant) -> Result<Judged, Error> {
        let change = put.change;
        let mut may_be_published = false;
        loop {
            match self.append(put.clone(), until).await {
                Ok(offset) => return self.read_verdict(offset, change, until).await,
                Err(error) if !error.may_stand() && !may_be_published => {
                    return Err(Error::NotPublished {
                        reason: error.to_string(),
                    });
                }
                Err(error) => {
                    may_be_published = true;
                    self.last_error = error.to_string();
                }
            }
            // The change id makes a duplicate harmless: look for the change first, then append it again.
            self.read_to_tail(until).await;
            if let Some(judged) = self.judged.get(&change) {
                return Ok(judged.clone());
            }
            if now() >= until {
                return Err(self.unknown_outcome(change));
            }
        }
    }

    async fn append(&self, put: Put, until: Instant) -> Result<id::Offset, writer::Error> {
        // Reserves half of the remaining time for reading the change back.
        let deadline = now() + until.saturating_duration_since(now()) / 2;
        let records = vec![Record::Put(put)];
        self.writer
            .append_by(Stream::Config, records, Priority::Reserved, deadline)
            .await
    }

    async fn read_verdict(
        &mut self,
        offset: id::Offset,
        change: u128,
        until: Instant,
    ) -> Result<Judged, Error> {
        while self.fold.state().next() <= offset {
            let Some(event) = self.next_event(until).await else {
                return Err(self.unknown_outcome(change));
            };
            self.apply(event);
        }
        let judged = self.judged.get(&change).cloned();
        judged.ok_or_else(|| Error::Unknown {
            change,
            reason: "it was published earlier, and its verdict is no longer in the stream"
                .to_owned(),
        })
    }

    async fn read_to_tail(&mut self, until: Instant) -> bool {
        // A tail requested before this call may lie before the records to be found.
        let from = now();
        loop {
            let Some(event) = self.next_event(until).await else {
                return false;
            };
            let done = matches!(event, Event::Tail { asked, .. } if asked >= from);
            self.apply(event);
            if done {
                return true;
            }
        }
    }

    async fn next_event(&mut self, until: Instant) -> Option<Event<Record>> {
        let until = time::Instant::from_std(until);
        time::timeout_at(until, self.reader.next()).await.ok()
    }

    fn apply(&mut self, event: Event<Record>) {
        match event {
            Event::Record { entry, .. } | Event::Skipped { entry, .. } => {
                // The verdict on the first copy of a change counts.
                let judged = self.fold.apply(&entry).into_iter();
                let first = judged.filter(|judged| judged.verdict != Verdict::Copy);
                self.judged
                    .extend(first.map(|judged| (judged.change, judged)));
            }
            Event::Trimmed { first } => self.fold.on_trimmed(first),
            Event::Outage { error, .. } => self.last_error = error.to_string(),
            Event::Tail { .. } => {}
        }
    }

    fn unknown_outcome(&self, change: u128) -> Error {
        Error::Unknown {
            change,
            reason: self.last_error.clone(),
        }
    }
}

/// Default timeout to publish a change and read it back.
pub const TIMEOUT: Duration = Duration::from_secs(20);

fn now() -> Instant {
    time::Instant::now().into_std()
}
