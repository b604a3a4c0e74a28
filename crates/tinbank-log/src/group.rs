//! Decides which records go into which envelope, and when: group commit, resend and budget.
//!
//! A state machine without I/O: appends, answers and the time come in, [`Action`]s come out. One envelope of a stream
//! is in flight at a time, which keeps the order. See `docs/design/log-client.md`.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tinbank_base::{id, platform::log::Stream};

use crate::{
    budget::{self, Budget, Priority},
    writer::Error,
};

/// Names one caller's append within this process.
pub type Ticket = u64;

/// Bounds of groups and backoff.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Most bytes of records in one envelope; one append may not be larger either.
    pub group_bytes: usize,
    /// Most records in one envelope.
    pub group_records: usize,
    /// Wait after the first failure; it doubles with each further one.
    pub backoff_first: Duration,
    /// Longest wait after a failure.
    pub backoff_longest: Duration,
    /// The budget of appends.
    pub budget: budget::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            group_bytes: 512 << 10,
            group_records: 16_384,
            backoff_first: Duration::from_millis(50),
            backoff_longest: Duration::from_secs(2),
            budget: budget::Settings::default(),
        }
    }
}

impl Settings {
    fn wait(&self, failures: u32, jitter: f64) -> Duration {
        backoff(self.backoff_first, self.backoff_longest, failures, jitter)
    }
}

/// Records that a caller wants appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Whose.
    pub ticket: Ticket,
    /// Where to.
    pub stream: Stream,
    /// The encoded records, one after the other.
    pub records: Bytes,
    /// How many they are.
    pub count: usize,
    /// Which part of the budget they may draw on.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What became of sending an envelope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It lasts at this offset.
    Durable(id::Offset),
    /// It was refused without effect; nothing may be sent before the time given, if any.
    Refused {
        /// Why.
        reason: String,
        /// When the service takes appends again.
        retry_at: Option<Instant>,
    },
    /// It is too large, and had no effect.
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The service's limit in bytes.
        limit: usize,
    },
    /// It may have taken effect.
    Unknown(String),
}

/// What the edge has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Build an envelope with this number and send it. The edge keeps it for a [`Action::Resend`].
    Send {
        /// Where to.
        stream: Stream,
        /// Its number.
        sequence: u64,
        /// The encoded records of all members, in order.
        records: Vec<Bytes>,
        /// How many records they are.
        count: usize,
    },
    /// Send the same envelope again.
    Resend {
        /// Where to.
        stream: Stream,
        /// Its number.
        sequence: u64,
    },
    /// Tell a caller what became of its append.
    Resolve {
        /// Whose.
        ticket: Ticket,
        /// The offset, or why there is none.
        result: Result<id::Offset, Error>,
    },
}

/// More than an envelope needs besides its records, in bytes.
const ENVELOPE_BYTES: usize = 256;

/// Appends that wait or are in flight, over all streams.
#[derive(Debug)]
pub struct Group {
    settings: Settings,
    budget: Budget,
    paused_until: Option<Instant>,
    streams: BTreeMap<Stream, Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Append>,
    flight: Option<Flight>,
    sequence: u64,
    failures: u32,
    retry_at: Option<Instant>,
    reason: String,
}

/// The envelope of a stream that was sent and of which it is not known that it lasts.
#[derive(Debug)]
struct Flight {
    members: Vec<Append>,
    sequence: u64,
    priority: Priority,
    sending: bool,
    unsure: bool,
}

impl Group {
    /// An empty group for a process that shares the budget with `writers` in all.
    pub fn new(settings: Settings, writers: usize, now: Instant) -> Self {
        Self {
            settings,
            budget: Budget::new(settings.budget, writers, now),
            paused_until: None,
            streams: BTreeMap::new(),
        }
    }

    /// Takes in how many writers are live.
    pub fn share(&mut self, writers: usize, now: Instant) {
        self.budget.share(writers, now);
    }

    /// Takes in records. What is to be done about them comes from [`Group::poll`].
    pub fn append(&mut self, append: Append) {
        let queue = self.streams.entry(append.stream).or_default();
        queue.waiting.push_back(append);
    }

    /// Takes in what became of the envelope in flight. `jitter` is drawn by the edge, from 0 to 1.
    pub fn answered(
        &mut self,
        stream: Stream,
        answer: Answer,
        jitter: f64,
        now: Instant,
    ) -> Vec<Action> {
        let Some(queue) = self.streams.get_mut(&stream) else {
            return Vec::new();
        };
        let Some(mut flight) = queue.flight.take() else {
            return Vec::new();
        };
        flight.sending = false;
        match answer {
            Answer::Durable(offset) => {
                queue.succeeded();
                resolve(flight.members, || Ok(offset))
            }
            Answer::TooLarge { size, limit } if flight.members.len() == 1 => {
                queue.succeeded();
                resolve(flight.members, || Err(Error::TooLarge { size, limit }))
            }
            Answer::TooLarge { limit, .. } => {
                self.settings.group_bytes = limit.saturating_sub(ENVELOPE_BYTES);
                queue.put_back(flight);
                Vec::new()
            }
            Answer::Refused { reason, retry_at } => {
                self.paused_until = self.paused_until.max(retry_at);
                queue.failed(reason, self.settings.wait(queue.failures, jitter), now);
                queue.put_back(flight);
                Vec::new()
            }
            Answer::Unknown(reason) => {
                flight.unsure = true;
                queue.failed(reason, self.settings.wait(queue.failures, jitter), now);
                queue.flight = Some(flight);
                Vec::new()
            }
        }
    }

    /// What is to be done now: callers whose time is up, then what may be sent.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for queue in self.streams.values_mut() {
            queue.expire(now, &mut actions);
        }
        self.streams.retain(|_, queue| !queue.forgettable());
        self.send(now, &mut actions);
        actions
    }

    /// Whether nothing waits and nothing is in flight.
    pub fn idle(&self) -> bool {
        self.streams
            .values()
            .all(|queue| queue.waiting.is_empty() && queue.flight.is_none())
    }

    /// When [`Group::poll`] has something to do next, if no other event comes first.
    pub fn wake_at(&self) -> Option<Instant> {
        let mut wakes = self.streams.values().filter_map(Queue::next_deadline).min();
        for queue in self.streams.values().filter(|queue| queue.sendable()) {
            let ready = self.budget.ready_at(queue.priority());
            let at = ready.max(queue.retry_at.unwrap_or(ready));
            let at = at.max(self.paused_until.unwrap_or(at));
            wakes = Some(wakes.map_or(at, |wake| wake.min(at)));
        }
        wakes
    }

    /// Sends as much as the budget allows: reserved first, then by deadline.
    fn send(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.paused_until.is_some_and(|until| until > now) {
            return;
        }
        self.paused_until = None;
        let mut due: Vec<(Stream, Priority, Option<Instant>)> = self
            .streams
            .iter()
            .filter(|(_, queue)| queue.sendable() && queue.retry_at.is_none_or(|at| at <= now))
            .map(|(stream, queue)| (*stream, queue.priority(), queue.next_deadline()))
            .collect();
        due.sort_by_key(|(_, priority, deadline)| (Reverse(*priority), *deadline));
        for (stream, priority, _) in due {
            if !self.budget.take(priority, now) {
                continue;
            }
            if let Some(queue) = self.streams.get_mut(&stream) {
                actions.push(queue.send(stream, &self.settings));
            }
        }
    }
}

impl Queue {
    fn succeeded(&mut self) {
        self.failures = 0;
        self.retry_at = None;
        self.reason.clear();
    }

    fn failed(&mut self, reason: String, wait: Duration, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + wait);
        self.reason = reason;
    }

    /// Keeps an envelope that may stand in the stream; dissolves one that provably does not, so that its members may
    /// still end as not appended.
    fn put_back(&mut self, flight: Flight) {
        if flight.unsure {
            self.flight = Some(flight);
            return;
        }
        for append in flight.members.into_iter().rev() {
            self.waiting.push_front(append);
        }
    }

    /// Ends the appends whose callers wait no longer. An envelope that may stand in the stream is given up when none
    /// of its callers waits; the next one has a larger number, so that a late copy of it does not count.
    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let reason = self.reason();
        self.waiting.retain(|append| {
            let expired = append.deadline <= now;
            if expired {
                let result = Err(Error::NotAppended(reason.clone()));
                actions.push(Action::Resolve {
                    ticket: append.ticket,
                    result,
                });
            }
            !expired
        });
        let Some(flight) = &mut self.flight else {
            return;
        };
        let sequence = flight.sequence;
        flight.members.retain(|append| {
            let expired = append.deadline <= now;
            if expired {
                let result = Err(Error::Unknown {
                    sequence,
                    reason: reason.clone(),
                });
                actions.push(Action::Resolve {
                    ticket: append.ticket,
                    result,
                });
            }
            !expired
        });
        if flight.members.is_empty() && !flight.sending {
            self.flight = None;
        }
    }

    fn reason(&self) -> String {
        if self.reason.is_empty() {
            return "no answer before the deadline".to_owned();
        }
        self.reason.clone()
    }

    /// A queue is never dropped once it has numbered an envelope, or its numbers would start again.
    fn forgettable(&self) -> bool {
        self.waiting.is_empty() && self.sequence == 0
    }

    fn sendable(&self) -> bool {
        match &self.flight {
            Some(flight) => !flight.sending,
            None => !self.waiting.is_empty(),
        }
    }

    fn priority(&self) -> Priority {
        match &self.flight {
            Some(flight) => flight.priority,
            None => highest(&self.waiting),
        }
    }

    fn next_deadline(&self) -> Option<Instant> {
        let members = self.flight.iter().flat_map(|flight| &flight.members);
        let deadlines = members.chain(&self.waiting).map(|append| append.deadline);
        deadlines.min()
    }

    fn send(&mut self, stream: Stream, settings: &Settings) -> Action {
        if let Some(flight) = &mut self.flight {
            flight.sending = true;
            return Action::Resend {
                stream,
                sequence: flight.sequence,
            };
        }
        let members = self.take_group(settings);
        self.sequence += 1;
        let action = Action::Send {
            stream,
            sequence: self.sequence,
            records: members
                .iter()
                .map(|append| append.records.clone())
                .collect(),
            count: members.iter().map(|append| append.count).sum(),
        };
        self.flight = Some(Flight {
            priority: highest(&members),
            members,
            sequence: self.sequence,
            sending: true,
            unsure: false,
        });
        action
    }

    fn take_group(&mut self, settings: &Settings) -> Vec<Append> {
        let mut bytes = 0;
        let mut records = 0;
        let fitting = self
            .waiting
            .iter()
            .take_while(|append| {
                bytes += append.records.len();
                records += append.count;
                bytes <= settings.group_bytes && records <= settings.group_records
            })
            .count();
        self.waiting.drain(..fitting.max(1)).collect()
    }
}

fn highest<'a>(appends: impl IntoIterator<Item = &'a Append>) -> Priority {
    let priorities = appends.into_iter().map(|append| append.priority);
    priorities.max().unwrap_or_default()
}

fn resolve(members: Vec<Append>, result: impl Fn() -> Result<id::Offset, Error>) -> Vec<Action> {
    members
        .into_iter()
        .map(|append| Action::Resolve {
            ticket: append.ticket,
            result: result(),
        })
        .collect()
}

/// Doubles with each failure; the upper half is spread by jitter, so that hosts don't come back in step.
pub fn backoff(first: Duration, longest: Duration, failures: u32, jitter: f64) -> Duration {
    let factor = 1_u32 << failures.min(16);
    let whole = first.saturating_mul(factor).min(longest);
    whole.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
