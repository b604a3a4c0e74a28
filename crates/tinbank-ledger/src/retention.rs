//! Knows which records are old enough that the log's retention will take them before long.

use std::{
    collections::VecDeque,
    time::{Duration, SystemTime},
};

use tinbank_base::{clock, clock::Stamp, id};

/// Marks kept; beyond it the older ones are thinned out.
const MAX_MARKS: usize = 1_024;

/// Joins offsets and times, as one reader saw them. Soft: it decides when to carry forward, never what counts.
#[derive(Clone, Debug)]
pub struct OffsetTimes {
    every: Duration,
    marks: VecDeque<Mark>,
    next: id::Offset,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    at: u64,
    offset: id::Offset,
}

impl OffsetTimes {
    /// Marks that are `every` apart.
    pub fn new(every: Duration) -> Self {
        Self {
            every,
            marks: VecDeque::new(),
            next: 0,
        }
    }

    /// Notes an envelope that was read at `now`. It is as old as its stamp says, but no younger than now.
    pub fn record(&mut self, offset: id::Offset, stamp: Stamp, now: SystemTime) {
        self.next = offset + 1;
        let at = stamp.micros.min(clock::micros(now));
        let due = self
            .marks
            .back()
            .is_none_or(|mark| mark.at.saturating_add(self.every()) <= at);
        if due {
            self.marks.push_back(Mark { at, offset });
        }
        if self.marks.len() > MAX_MARKS {
            self.thin();
        }
    }

    /// The records before this offset were all appended before `time`, as far as is known.
    pub fn offset_before(&self, time: SystemTime) -> id::Offset {
        let time = clock::micros(time);
        let older = self.marks.partition_point(|mark| mark.at <= time);
        let Some(last) = older.checked_sub(1).map(|index| self.marks[index]) else {
            return 0;
        };
        // What follows the last mark without a mark of its own is less than one interval younger.
        let all = older == self.marks.len() && last.at.saturating_add(self.every()) <= time;
        if all { self.next } else { last.offset }
    }

    /// Offset after the last record noted.
    pub fn next(&self) -> id::Offset {
        self.next
    }

    fn every(&self) -> u64 {
        self.every.as_micros() as u64
    }

    fn thin(&mut self) {
        let mut keep = false;
        self.marks.retain(|_| {
            keep = !keep;
            keep
        });
        self.every *= 2;
    }
}
