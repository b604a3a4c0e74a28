//! What the log in memory holds, and which faults are switched on.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use tinbank_base::{
    id,
    platform::log::{Entry, Error, Page, Stream},
};
use tokio::time;

use super::Fault;

#[derive(Default)]
pub(super) struct State {
    pub streams: BTreeMap<Stream, Contents>,
    pub outage: bool,
    pub faults: VecDeque<Fault>,
    pub delay: Duration,
    pub rate: Option<Rate>,
    pub calls: usize,
}

#[derive(Default)]
pub(super) struct Contents {
    pub first: id::Offset,
    pub entries: VecDeque<Bytes>,
}

pub(super) struct Rate {
    pub per_second: u32,
    pub began: time::Instant,
    pub used: u32,
}

impl State {
    pub fn page(&self, stream: Stream, from: id::Offset, limit: usize) -> Result<Page, Error> {
        self.up()?;
        let Some(contents) = self.streams.get(&stream) else {
            return Ok(Page {
                next: from,
                ..Page::default()
            });
        };
        if from < contents.first {
            return Err(Error::Trimmed {
                first: contents.first,
            });
        }
        let mut bytes = 0;
        let mut entries = contents.from(from);
        let fitting = entries
            .iter()
            .take_while(|entry| {
                bytes += entry.payload.len();
                bytes <= limit
            })
            .count();
        entries.truncate(fitting.max(1));
        Ok(Page {
            next: entries.last().map_or(from, |last| last.offset + 1),
            entries,
            tail: contents.tail(),
        })
    }

    pub fn up(&self) -> Result<(), Error> {
        if self.outage {
            return Err(Error::Unavailable("outage".to_owned()));
        }
        Ok(())
    }

    pub fn push(&mut self, stream: Stream, payload: Bytes) -> id::Offset {
        let contents = self.streams.entry(stream).or_default();
        contents.entries.push_back(payload);
        contents.tail() - 1
    }
}

impl Contents {
    pub fn tail(&self) -> id::Offset {
        self.first + self.entries.len() as u64
    }

    pub fn from(&self, from: id::Offset) -> Vec<Entry> {
        let skip = from.saturating_sub(self.first) as usize;
        let offsets = from.max(self.first)..;
        let kept = self.entries.iter().skip(skip);
        offsets
            .zip(kept)
            .map(|(offset, payload)| Entry {
                offset,
                payload: payload.clone(),
            })
            .collect()
    }
}

impl Rate {
    pub fn take(&mut self) -> Result<(), Error> {
        let now = time::Instant::now();
        if now.duration_since(self.began) >= Duration::from_secs(1) {
            self.began = now;
            self.used = 0;
        }
        if self.used < self.per_second {
            self.used += 1;
            return Ok(());
        }
        let left = (self.began + Duration::from_secs(1)).duration_since(now);
        Err(Error::Throttled {
            retry_at: SystemTime::now() + left,
        })
    }
}
