//! Publishes a change and finds out what became of it.

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

/// Why it is not known what became of a change, or why nothing became of it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The change is provably not in the stream.
    #[error("not published: {reason}")]
    NotPublished {
        /// Why.
        reason: String,
    },
    /// The change may be in the stream. Publishing it again under the same number is safe, and tells.
    #[error("change {change:032x} may have been published: {reason}")]
    Unknown {
        /// Number of the change.
        change: u128,
        /// Why it is not known.
        reason: String,
    },
    /// The stream can't be read to its tail.
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
    problem: String,
}

impl Publisher {
    /// A publisher that has read nothing yet.
    pub fn new(log: Arc<dyn Log>, writer: Writer, settings: Settings) -> Self {
        Self {
            reader: Reader::new(log, Stream::Config, 0, settings),
            writer,
            fold: Fold::default(),
            judged: BTreeMap::new(),
            problem: String::new(),
        }
    }

    /// Reads the stream to its tail and returns the state there.
    ///
    /// # Errors
    /// [`Error::Unreadable`] if that does not work in time, or if the stream's beginning is gone without a checkpoint.
    pub async fn load(&mut self, until: Instant) -> Result<&State, Error> {
        if !self.read_to_tail(until).await {
            return Err(Error::Unreadable {
                reason: self.problem.clone(),
            });
        }
        if self.fold.incomplete() {
            let reason = "its beginning is gone and there is no whole checkpoint".to_owned();
            return Err(Error::Unreadable { reason });
        }
        Ok(self.fold.state())
    }

    /// Publishes a change and reads it back: the verdict is the one that every host comes to.
    ///
    /// # Errors
    /// [`Error::NotPublished`] or [`Error::Unknown`]; the latter only if the log did not answer till `until`.
    pub async fn put(&mut self, put: Put, until: Instant) -> Result<Judged, Error> {
        let change = put.change;
        let mut may_stand = false;
        loop {
            match self.append(put.clone(), until).await {
                Ok(offset) => return self.read_past(offset, change, until).await,
                Err(error) if !error.may_stand() && !may_stand => {
                    return Err(Error::NotPublished {
                        reason: error.to_string(),
                    });
                }
                Err(error) => {
                    may_stand = true;
                    self.problem = error.to_string();
                }
            }
            // Its own number makes a second copy harmless, so it is looked for first and then sent once more.
            self.read_to_tail(until).await;
            if let Some(judged) = self.judged.get(&change) {
                return Ok(judged.clone());
            }
            if now() >= until {
                return Err(self.unknown(change));
            }
        }
    }

    async fn append(&self, put: Put, until: Instant) -> Result<id::Offset, writer::Error> {
        // Half of the time that is left is kept for reading back.
        let deadline = now() + until.saturating_duration_since(now()) / 2;
        let records = vec![Record::Put(put)];
        self.writer
            .append_by(Stream::Config, records, Priority::Reserved, deadline)
            .await
    }

    async fn read_past(
        &mut self,
        offset: id::Offset,
        change: u128,
        until: Instant,
    ) -> Result<Judged, Error> {
        while self.fold.state().next() <= offset {
            let Some(event) = self.event(until).await else {
                return Err(self.unknown(change));
            };
            self.take(event);
        }
        let judged = self.judged.get(&change).cloned();
        judged.ok_or_else(|| Error::Unknown {
            change,
            reason: "it was published before, and its verdict is older than the stream".to_owned(),
        })
    }

    async fn read_to_tail(&mut self, until: Instant) -> bool {
        // A tail that was asked for before this call may be older than what is looked for.
        let from = now();
        loop {
            let Some(event) = self.event(until).await else {
                return false;
            };
            let done = matches!(event, Event::Tail { asked, .. } if asked >= from);
            self.take(event);
            if done {
                return true;
            }
        }
    }

    async fn event(&mut self, until: Instant) -> Option<Event<Record>> {
        let until = time::Instant::from_std(until);
        time::timeout_at(until, self.reader.next()).await.ok()
    }

    fn take(&mut self, event: Event<Record>) {
        match event {
            Event::Record { entry, .. } | Event::Skipped { entry, .. } => {
                // The verdict on a copy says nothing: that on the first one holds.
                let judged = self.fold.apply(&entry).into_iter();
                let first = judged.filter(|judged| judged.verdict != Verdict::Copy);
                self.judged
                    .extend(first.map(|judged| (judged.change, judged)));
            }
            Event::Trimmed { first } => self.fold.on_trimmed(first),
            Event::Outage { error, .. } => self.problem = error.to_string(),
            Event::Tail { .. } => {}
        }
    }

    fn unknown(&self, change: u128) -> Error {
        Error::Unknown {
            change,
            reason: self.problem.clone(),
        }
    }
}

/// Time that is usually enough to publish a change and read it back.
pub const TIMEOUT: Duration = Duration::from_secs(20);

fn now() -> Instant {
    time::Instant::now().into_std()
}
