//! Records of the streams, and the append rate. Pure: `now` comes in.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use tinbank_base::{
    id,
    platform::log::{Bounds, Entry, Page},
};
use tokio::time::Instant;

use super::Settings;
use crate::bucket::Bucket;

/// Why an append was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    TooLarge,
    Limited { wait: Duration },
}

/// A read before the oldest record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Trimmed {
    pub first: id::Offset,
}

#[derive(Debug)]
pub(crate) struct Store {
    settings: Settings,
    streams: HashMap<String, Records>,
    bucket: Bucket,
}

#[derive(Debug, Default)]
struct Records {
    first: id::Offset,
    bytes: u64,
    kept: VecDeque<(Instant, Bytes)>,
}

impl Store {
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            bucket: Bucket::new(settings.appends_per_second, settings.burst, now),
            streams: HashMap::new(),
            settings,
        }
    }

    /// Appends one record.
    pub fn append(
        &mut self,
        stream: &str,
        payload: Bytes,
        now: Instant,
    ) -> Result<id::Offset, Refused> {
        if payload.len() > self.settings.max_record_bytes {
            return Err(Refused::TooLarge);
        }
        self.bucket
            .take(now)
            .map_err(|wait| Refused::Limited { wait })?;
        let records = self.streams.entry(stream.to_owned()).or_default();
        let offset = records.tail();
        records.bytes += payload.len() as u64;
        records.kept.push_back((now, payload));
        records.trim(&self.settings, now);
        Ok(offset)
    }

    /// Reads from `from`, at most about `limit` bytes but at least one record.
    pub fn read(
        &mut self,
        stream: &str,
        from: id::Offset,
        limit: usize,
        now: Instant,
    ) -> Result<Page, Trimmed> {
        let Some(records) = self.streams.get_mut(stream) else {
            return Ok(Page {
                next: from,
                ..Page::default()
            });
        };
        records.trim(&self.settings, now);
        records.read(from, limit)
    }

    /// What a stream holds.
    pub fn bounds(&mut self, stream: &str, now: Instant) -> Bounds {
        let Some(records) = self.streams.get_mut(stream) else {
            return Bounds { first: 0, tail: 0 };
        };
        records.trim(&self.settings, now);
        Bounds {
            first: records.first,
            tail: records.tail(),
        }
    }
}

impl Records {
    fn tail(&self) -> id::Offset {
        self.first + self.kept.len() as u64
    }

    fn trim(&mut self, settings: &Settings, now: Instant) {
        while let Some((at, payload)) = self.kept.front() {
            let old = now.saturating_duration_since(*at) > settings.retention;
            if !old && self.bytes <= settings.retention_bytes {
                return;
            }
            self.bytes -= payload.len() as u64;
            self.first += 1;
            self.kept.pop_front();
        }
    }

    fn read(&self, from: id::Offset, limit: usize) -> Result<Page, Trimmed> {
        if from < self.first {
            return Err(Trimmed { first: self.first });
        }
        let mut page = Page {
            entries: Vec::new(),
            next: from,
            tail: self.tail(),
        };
        let skipped = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let mut size = 0;
        for (_, payload) in self.kept.iter().skip(skipped) {
            size += payload.len();
            if size > limit && !page.entries.is_empty() {
                break;
            }
            page.entries.push(Entry {
                offset: page.next,
                payload: payload.clone(),
            });
            page.next += 1;
        }
        Ok(page)
    }
}

#[cfg(test)]
mod tests;
