//! The appends of one stream: those that wait, and the one envelope in flight.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tinbank_base::platform::log::Stream;

use super::{Action, Append, Settings};
use crate::{budget::Priority, writer::Error};

#[derive(Debug, Default)]
pub(super) struct Queue {
    pub(super) waiting: VecDeque<Append>,
    pub(super) flight: Option<Flight>,
    sequence: u64,
    pub(super) failures: u32,
    pub(super) retry_at: Option<Instant>,
    reason: String,
}

/// The envelope of a stream that was sent and of which it is not known that it lasts.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) members: Vec<Append>,
    sequence: u64,
    priority: Priority,
    pub(super) sending: bool,
    pub(super) unsure: bool,
}

impl Queue {
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.retry_at = None;
        self.reason.clear();
    }

    pub(super) fn failed(&mut self, reason: String, wait: Duration, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + wait);
        self.reason = reason;
    }

    /// Keeps an envelope that may stand in the stream; dissolves one that provably does not, so that its members may
    /// still end as not appended.
    pub(super) fn put_back(&mut self, flight: Flight) {
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
    pub(super) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
    pub(super) fn forgettable(&self) -> bool {
        self.waiting.is_empty() && self.sequence == 0
    }

    pub(super) fn sendable(&self) -> bool {
        match &self.flight {
            Some(flight) => !flight.sending,
            None => !self.waiting.is_empty(),
        }
    }

    pub(super) fn priority(&self) -> Priority {
        match &self.flight {
            Some(flight) => flight.priority,
            None => highest(&self.waiting),
        }
    }

    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let members = self.flight.iter().flat_map(|flight| &flight.members);
        let deadlines = members.chain(&self.waiting).map(|append| append.deadline);
        deadlines.min()
    }

    pub(super) fn send(&mut self, stream: Stream, settings: &Settings) -> Action {
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
