//! A bounded ring of events which counts what it drops.

use std::collections::VecDeque;

use tinbank_base::event::Event;

use crate::query::{Cursor, Query};

/// The newest events of a process.
#[derive(Debug)]
pub(crate) struct Ring {
    events: VecDeque<Event>,
    capacity: usize,
    /// Cursor of the oldest event held: so many were dropped.
    first: Cursor,
}

/// What a query found.
#[derive(Debug)]
pub(crate) struct Found {
    pub(crate) lost: u64,
    pub(crate) next: Cursor,
    pub(crate) events: Vec<Event>,
}

impl Ring {
    pub(crate) fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self {
            events: VecDeque::with_capacity(capacity),
            capacity,
            first: 0,
        }
    }

    /// Puts an event in and returns the one it pushed out, so that the caller can free it outside of its lock.
    pub(crate) fn push(&mut self, event: Event) -> Option<Event> {
        let dropped = if self.events.len() == self.capacity {
            self.first += 1;
            self.events.pop_front()
        } else {
            None
        };
        self.events.push_back(event);
        dropped
    }

    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(crate) fn oldest(&self) -> Option<&Event> {
        self.events.front()
    }

    pub(crate) fn find(&self, query: &Query) -> Found {
        let start = query.from.max(self.first);
        let skip = (start - self.first) as usize;
        let mut next = start.min(self.first + self.events.len() as Cursor);
        let mut events = Vec::new();
        for event in self.events.iter().skip(skip) {
            if events.len() == query.limit() {
                break;
            }
            next += 1;
            if query.matches(event) {
                events.push(event.clone());
            }
        }
        Found {
            lost: self.first.saturating_sub(query.from),
            next,
            events,
        }
    }
}
