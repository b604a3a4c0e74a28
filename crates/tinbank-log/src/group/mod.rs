//! Decides which records go into which envelope, and when: group commit, resend and budget.
//!
//! A state machine without I/O: appends, answers and the time come in, [`Action`]s come out. One envelope of a stream
//! is in flight at a time, which keeps the order. See `docs/design/log-client.md`.

mod message;
mod queue;
mod settings;

use std::{cmp::Reverse, collections::BTreeMap, time::Instant};

use tinbank_base::{id, platform::log::Stream};

use self::queue::Queue;
pub use self::{
    message::{Action, Answer, Append, Ticket},
    settings::{Settings, backoff},
};
use crate::{
    budget::{Budget, Priority},
    writer::Error,
};

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

/// A stream that has an envelope to send now.
struct Due {
    stream: Stream,
    priority: Priority,
    deadline: Option<Instant>,
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
        let mut due: Vec<Due> = self
            .streams
            .iter()
            .filter(|(_, queue)| queue.sendable() && queue.retry_at.is_none_or(|at| at <= now))
            .map(|(stream, queue)| Due {
                stream: *stream,
                priority: queue.priority(),
                deadline: queue.next_deadline(),
            })
            .collect();
        due.sort_by_key(|due| (Reverse(due.priority), due.deadline));
        for Due {
            stream, priority, ..
        } in due
        {
            if !self.budget.take(priority, now) {
                continue;
            }
            if let Some(queue) = self.streams.get_mut(&stream) {
                actions.push(queue.send(stream, &self.settings));
            }
        }
    }
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
