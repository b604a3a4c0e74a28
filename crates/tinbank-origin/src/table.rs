//! The origins that one host knows.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use serde::{Deserialize, Serialize};

use crate::{Key, Origin, RETENTION};

/// Most origins that are kept; the oldest give way. A host that keeps the origins of 500 streams a second reaches it in a minute.
const CAPACITY: usize = 32 << 10;

/// What a host knows of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The stream began there.
    Known(Origin),
    /// Hosts have reported two different origins.
    Conflicting,
    /// Nothing is known of the stream.
    Unknown,
}

/// The origins of streams that began recently.
#[derive(Debug, Default)]
pub struct Table {
    records: HashMap<Key, Record>,
    /// Keys by the time at which they expire, unless they were refreshed since.
    expiries: VecDeque<(Instant, Key)>,
}

#[derive(Debug)]
struct Record {
    /// `None` if hosts have reported different ones.
    origin: Option<Origin>,
    expires_at: Instant,
}

impl Table {
    /// Records the origin of a stream, or that the stream still runs.
    pub fn record(&mut self, key: Key, origin: Origin, now: Instant) {
        self.remove_expired(now);
        let expires_at = now + RETENTION;
        if let Some(record) = self.records.get_mut(&key) {
            record.expires_at = expires_at;
            record.origin = record.origin.take().filter(|known| *known == origin);
            return;
        }
        while self.records.len() >= CAPACITY
            && let Some((_, oldest)) = self.expiries.pop_front()
        {
            self.records.remove(&oldest);
        }
        let origin = Some(origin);
        self.records.insert(key, Record { origin, expires_at });
        self.expiries.push_back((expires_at, key));
    }

    /// Returns what is known of a stream.
    pub fn get(&self, key: Key, now: Instant) -> Answer {
        let record = self.records.get(&key).filter(|it| now < it.expires_at);
        match record.map(|it| &it.origin) {
            Some(Some(origin)) => Answer::Known(origin.clone()),
            Some(None) => Answer::Conflicting,
            None => Answer::Unknown,
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, key)) = self.expiries.front().copied()
            && expires_at <= now
        {
            self.expiries.pop_front();
            match self.records.get(&key) {
                Some(record) if record.expires_at > now => {
                    self.expiries.push_back((record.expires_at, key));
                }
                _ => drop(self.records.remove(&key)),
            }
        }
    }
}
