//! The share of the fleet's appends that one writer may spend.

use std::time::{Duration, Instant};

/// Which part of the budget an append draws on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Work: waits for its share and is coalesced meanwhile.
    #[default]
    Normal,
    /// Configuration and leases: may draw on the reserve.
    Reserved,
}

/// What the fleet as a whole may append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Appends a second of all writers together.
    pub fleet_per_second: f64,
    /// Part of them that is kept for [`Priority::Reserved`], from 0 to 1.
    pub reserve: f64,
    /// How long a share may be saved up for a burst.
    pub burst: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fleet_per_second: 300.0,
            reserve: 0.1,
            burst: Duration::from_secs(1),
        }
    }
}

/// Two token buckets, one for all appends and one for the reserve.
///
/// Clocks and live writers come in from outside, so that the same calls always give the same answers.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    writers: usize,
    filled: Instant,
    normal: f64,
    reserved: f64,
}

impl Budget {
    /// A budget with both buckets full.
    pub fn new(settings: Settings, writers: usize, now: Instant) -> Self {
        let mut budget = Self {
            settings,
            writers: writers.max(1),
            filled: now,
            normal: 0.0,
            reserved: 0.0,
        };
        budget.normal = budget.cap(budget.rate(Priority::Normal));
        budget.reserved = budget.cap(budget.rate(Priority::Reserved));
        budget
    }

    /// Takes in how many writers share the fleet's appends; what was saved up so far stays, up to the new cap.
    pub fn share(&mut self, writers: usize, now: Instant) {
        self.fill(now);
        self.writers = writers.max(1);
        self.normal = self.normal.min(self.cap(self.rate(Priority::Normal)));
        self.reserved = self.reserved.min(self.cap(self.rate(Priority::Reserved)));
    }

    /// Spends one append, if there is one to spend.
    pub fn take(&mut self, priority: Priority, now: Instant) -> bool {
        self.fill(now);
        if self.normal >= 1.0 {
            self.normal -= 1.0;
            return true;
        }
        if priority == Priority::Reserved && self.reserved >= 1.0 {
            self.reserved -= 1.0;
            return true;
        }
        false
    }

    /// When the next append can be had at the earliest.
    pub fn ready_at(&self, priority: Priority) -> Instant {
        let normal = wait(self.normal, self.rate(Priority::Normal));
        let wait = match priority {
            Priority::Normal => normal,
            Priority::Reserved => normal.min(wait(self.reserved, self.rate(Priority::Reserved))),
        };
        self.filled + wait
    }

    fn fill(&mut self, now: Instant) {
        let seconds = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        let normal = self.rate(Priority::Normal);
        let reserved = self.rate(Priority::Reserved);
        self.normal = (self.normal + normal * seconds).min(self.cap(normal));
        self.reserved = (self.reserved + reserved * seconds).min(self.cap(reserved));
    }

    /// Tokens a second that flow into a bucket.
    fn rate(&self, priority: Priority) -> f64 {
        let part = match priority {
            Priority::Normal => 1.0 - self.settings.reserve,
            Priority::Reserved => self.settings.reserve,
        };
        self.settings.fleet_per_second * part / self.writers as f64
    }

    /// A bucket holds at least one append, or a small share could never be spent.
    fn cap(&self, rate: f64) -> f64 {
        (rate * self.settings.burst.as_secs_f64()).max(1.0)
    }
}

/// Longest wait that is computed, so that a rate of nearly 0 stays within what an `Instant` can hold.
const LONGEST: f64 = 3_600.0;

/// Added to a wait, so that rounding never wakes the writer just before its token is whole.
const ROUNDING: Duration = Duration::from_micros(1);

fn wait(tokens: f64, rate: f64) -> Duration {
    let missing = 1.0 - tokens;
    if missing <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64((missing / rate).min(LONGEST)) + ROUNDING
}
