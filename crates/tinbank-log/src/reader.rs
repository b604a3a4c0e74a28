//! Follows a stream of the log: decoded envelopes in order, and what a silence means.

use std::{
    fmt,
    marker::PhantomData,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use serde::de::DeserializeOwned;
use tinbank_base::{
    id,
    platform::log::{Entry, Error as LogError, Log, Page, Stream},
    record::{self, Envelope},
};
use tokio::time;

/// How a stream is read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// About how many bytes one read brings.
    pub page_bytes: usize,
    /// How long a read waits at the tail. Shorter reads show sooner that the log still answers.
    pub wait: Duration,
    /// Time beyond the wait after which a read counts as failed.
    pub answer_timeout: Duration,
    /// Wait after the first failure; it doubles with each further one.
    pub backoff_first: Duration,
    /// Longest wait after a failure.
    pub backoff_longest: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            page_bytes: 1 << 20,
            wait: Duration::from_secs(1),
            answer_timeout: Duration::from_secs(3),
            backoff_first: Duration::from_millis(50),
            backoff_longest: Duration::from_secs(2),
        }
    }
}

/// What reading brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<R> {
    /// The next entry.
    Record {
        /// The entry as it stands in the log.
        entry: Entry,
        /// What it holds.
        envelope: Envelope<R>,
    },
    /// The next entry can't be decoded. It is counted and passed over.
    Skipped {
        /// The entry as it stands in the log.
        entry: Entry,
        /// Why.
        error: record::Error,
    },
    /// All that stood in the stream when the read was asked has been given. It comes again with each read at the tail,
    /// so its absence means that the log does not answer.
    Tail {
        /// Where the stream goes on.
        next: id::Offset,
        /// When the read was asked: silence up to here is proven.
        asked: Instant,
    },
    /// The records from the reader's place on are gone. It goes on from `first`, whose reader needs a checkpoint.
    Trimmed {
        /// Offset of the oldest record kept.
        first: id::Offset,
    },
    /// The log does not answer. It comes once for each failed read; no silence may be counted until the next
    /// [`Event::Tail`].
    Outage {
        /// How many reads have failed in a row.
        failures: u32,
        /// Why.
        error: LogError,
    },
}

/// Reads one stream. It never goes back.
pub struct Reader<R> {
    log: Arc<dyn Log>,
    stream: Stream,
    settings: Settings,
    next: id::Offset,
    at_tail: bool,
    failures: u32,
    retry_at: Option<time::Instant>,
    entries: std::vec::IntoIter<Entry>,
    tail: Option<Tail>,
    pending: Option<BoxFuture<'static, Read>>,
    record: PhantomData<fn() -> R>,
}

struct Tail {
    next: id::Offset,
    asked: Instant,
}

struct Read {
    asked: Instant,
    result: Result<Page, LogError>,
}

impl<R> fmt::Debug for Reader<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reader")
            .field("stream", &self.stream)
            .field("next", &self.next)
            .finish_non_exhaustive()
    }
}

impl<R: DeserializeOwned> Reader<R> {
    /// Reads a stream from an offset on.
    pub fn new(log: Arc<dyn Log>, stream: Stream, from: id::Offset, settings: Settings) -> Self {
        Self {
            log,
            stream,
            settings,
            next: from,
            at_tail: false,
            failures: 0,
            retry_at: None,
            entries: Vec::new().into_iter(),
            tail: None,
            pending: None,
            record: PhantomData,
        }
    }

    /// Offset of the entry that comes next.
    pub fn position(&self) -> id::Offset {
        self.next
    }

    /// Whether the last read reached the tail and all of it was given.
    pub fn at_tail(&self) -> bool {
        self.at_tail
    }

    /// Goes on from a later offset, when what lies before it came another way. An earlier one is ignored.
    pub fn skip_to(&mut self, offset: id::Offset) {
        if offset <= self.next {
            return;
        }
        self.next = offset;
        self.entries = Vec::new().into_iter();
        self.tail = None;
        self.pending = None;
        self.at_tail = false;
    }

    /// The next event. Dropping the future loses nothing: a read under way goes on with the next call.
    pub async fn next(&mut self) -> Event<R> {
        loop {
            if let Some(entry) = self.entries.next() {
                self.next = entry.offset + 1;
                return self.decode(entry);
            }
            if let Some(Tail { next, asked }) = self.tail.take() {
                self.at_tail = true;
                return Event::Tail { next, asked };
            }
            if let Some(event) = self.read().await {
                return event;
            }
        }
    }

    async fn read(&mut self) -> Option<Event<R>> {
        if let Some(at) = self.retry_at {
            time::sleep_until(at).await;
            self.retry_at = None;
        }
        let (log, stream, next, settings) =
            (self.log.clone(), self.stream, self.next, self.settings);
        let read = self
            .pending
            .get_or_insert_with(|| Box::pin(read(log, stream, next, settings)));
        let Read { asked, result } = read.await;
        self.pending = None;
        match result.and_then(|page| self.check(page)) {
            Ok(page) => {
                self.failures = 0;
                self.at_tail = false;
                self.tail = (page.next >= page.tail).then_some(Tail {
                    next: page.next,
                    asked,
                });
                self.entries = page.entries.into_iter();
                None
            }
            Err(LogError::Trimmed { first }) if first > self.next => {
                ::log::warn!(stream:% = self.stream, next = self.next, first; "stream trimmed");
                self.failures = 0;
                self.at_tail = false;
                self.next = first;
                Some(Event::Trimmed { first })
            }
            Err(error) => Some(self.failed(error)),
        }
    }

    /// Holds a page to the log's promise: entries rise by one from where we read, and the tail never lies behind us.
    fn check(&self, page: Page) -> Result<Page, LogError> {
        let next = self.next.checked_add(page.entries.len() as u64);
        let offsets = page.entries.iter().map(|entry| entry.offset);
        let in_order = next.is_some_and(|next| offsets.eq(self.next..next));
        if !in_order || Some(page.next) != next {
            let message = format!("entries from offset {} on are out of order", self.next);
            return Err(LogError::Protocol(message));
        }
        if page.tail < page.next {
            let message = format!("the tail {} lies before {}", page.tail, page.next);
            return Err(LogError::Protocol(message));
        }
        Ok(page)
    }

    fn failed(&mut self, error: LogError) -> Event<R> {
        let jitter = rand::random();
        let (first, longest) = (self.settings.backoff_first, self.settings.backoff_longest);
        let wait = crate::group::backoff(first, longest, self.failures, jitter);
        self.retry_at = Some(time::Instant::now() + wait);
        if self.failures == 0 {
            ::log::warn!(stream:% = self.stream, error:%; "log can't be read");
        }
        self.failures = self.failures.saturating_add(1);
        self.at_tail = false;
        metrics::counter!("tinbank_log_read_failures_total").increment(1);
        Event::Outage {
            failures: self.failures,
            error,
        }
    }

    fn decode(&self, entry: Entry) -> Event<R> {
        match Envelope::decode(&entry.payload) {
            Ok(envelope) => Event::Record { entry, envelope },
            Err(error) => {
                let reason = match error {
                    record::Error::Empty => "empty",
                    record::Error::Version(_) => "version",
                    record::Error::Malformed(_) => "malformed",
                };
                metrics::counter!("tinbank_log_entries_skipped_total", "reason" => reason)
                    .increment(1);
                ::log::warn!(stream:% = self.stream, offset = entry.offset, error:%; "entry skipped");
                Event::Skipped { entry, error }
            }
        }
    }
}

async fn read(log: Arc<dyn Log>, stream: Stream, from: id::Offset, settings: Settings) -> Read {
    let asked = time::Instant::now();
    let until = asked + settings.wait;
    let read = log.read(stream, from, settings.page_bytes, until.into_std());
    let result = match time::timeout_at(until + settings.answer_timeout, read).await {
        Ok(result) => result,
        Err(_) => Err(LogError::Unavailable("no answer in time".to_owned())),
    };
    Read {
        asked: asked.into_std(),
        result,
    }
}
