//! Finds the records that are old enough to be deleted by the log's retention soon.

use std::{
    collections::VecDeque,
    time::{Duration, SystemTime},
};

use tinbank_base::{clock, clock::Stamp, id};

/// Limit of the stored marks. When it is exceeded, every other mark is dropped.
const MAX_MARKS: usize = 1_024;

/// Maps append times to offsets, as seen by one reader.
///
/// Not replicated state: used to decide when to carry records forward, never which records take effect.
#[derive(Clone, Debug)]
pub struct OffsetTimes {
    interval: Duration,
    marks: VecDeque<Mark>,
    next: id::Offset,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    at: u64,
    offset: id::Offset,
}

impl OffsetTimes {
    /// Creates an empty map that stores a mark every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            marks: VecDeque::new(),
            next: 0,
        }
    }

    /// Records an envelope that was read at `now`. A stamp in the future is taken as `now`.
    pub fn record(&mut self, offset: id::Offset, stamp: Stamp, now: SystemTime) {
        self.next = offset + 1;
        let at = stamp.micros.min(clock::micros(now));
        let due = self
            .marks
            .back()
            .is_none_or(|mark| mark.at.saturating_add(self.interval_micros()) <= at);
        if due {
            self.marks.push_back(Mark { at, offset });
        }
        if self.marks.len() > MAX_MARKS {
            self.thin();
        }
    }

    /// Returns an offset such that all records before it were appended before `time`. 0 if none are known to be.
    pub fn offset_before(&self, time: SystemTime) -> id::Offset {
        let time = clock::micros(time);
        let older = self.marks.partition_point(|mark| mark.at <= time);
        let Some(last) = older.checked_sub(1).map(|index| self.marks[index]) else {
            return 0;
        };
        // Records after the last mark are less than one interval younger than it.
        let all =
            older == self.marks.len() && last.at.saturating_add(self.interval_micros()) <= time;
        if all { self.next } else { last.offset }
    }

    /// Offset after the last recorded envelope.
    pub fn next(&self) -> id::Offset {
        self.next
    }

    fn interval_micros(&self) -> u64 {
        self.interval.as_micros() as u64
    }

    fn thin(&mut self) {
        let mut keep = false;
        self.marks.retain(|_| {
            keep = !keep;
            keep
        });
        self.interval *= 2;
    }
}
