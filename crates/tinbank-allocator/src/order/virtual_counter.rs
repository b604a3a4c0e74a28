//! Counters of the work done for each of several parties, relative to their weights.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Work relative to a weight, in millionths.
pub type Level = u64;
/// Weight of a party relative to others.
pub type Weight = u32;

/// Weight of a party without a limit, and of one whose limit is not known.
pub const DEFAULT_WEIGHT: Weight = 1_000;

/// Levels are integers, so work is multiplied by this before it is divided by a weight.
const SCALE: u64 = 1_000_000;
/// At each step of aging, a level loses one in this many parts.
const AGED_PART: u64 = 8;
/// Number of steps after which nothing is left of any realistic level.
const MAX_STEPS: u128 = 400;

/// One counter for each party. Counters age, which bounds how far one party can be ahead of another and for how long it is
/// served last because of it.
#[derive(Debug)]
pub struct Counters {
    levels: HashMap<String, Level>,
    /// Greatest level at which a party was served.
    served: Level,
    step: Duration,
    aged_at: Option<Instant>,
}

impl Counters {
    /// Creates counters that lose an eighth of their levels in each `step`.
    pub fn new(step: Duration) -> Self {
        Self {
            levels: HashMap::new(),
            served: 0,
            step,
            aged_at: None,
        }
    }

    /// Returns the level of a party.
    pub fn level(&self, party: &str) -> Level {
        self.levels.get(party).copied().unwrap_or(0)
    }

    /// Returns the greatest level at which a party was served. A party that begins to compete while no other does is raised
    /// to it.
    pub fn served(&self) -> Level {
        self.served
    }

    /// Raises the level of a party that begins to compete, so that it gains nothing from having been idle.
    pub fn raise(&mut self, party: &str, floor: Level) {
        if self.level(party) < floor {
            self.levels.insert(party.to_owned(), floor);
        }
    }

    /// Counts work that is done for a party because it was its turn.
    pub fn charge(&mut self, party: &str, work: u64, weight: Weight, now: Instant) {
        self.age(now);
        self.served = self.served.max(self.level(party));
        self.add(party, work, weight, now);
    }

    /// Counts work that is done for a party, whether it was its turn or not.
    pub fn add(&mut self, party: &str, work: u64, weight: Weight, now: Instant) {
        self.age(now);
        let level = self.level(party).saturating_add(relative(work, weight));
        match self.levels.get_mut(party) {
            Some(known) => *known = level,
            None => drop(self.levels.insert(party.to_owned(), level)),
        }
    }

    /// Ages the counters, and drops those that nothing is left of.
    pub fn age(&mut self, now: Instant) {
        let aged_at = *self.aged_at.get_or_insert(now);
        let passed = now.saturating_duration_since(aged_at).as_nanos() / self.step.as_nanos();
        if passed == 0 {
            return;
        }
        if passed > MAX_STEPS {
            self.levels.clear();
            self.served = 0;
            self.aged_at = Some(now);
            return;
        }
        let steps = passed as u32;
        self.aged_at = Some(aged_at + self.step * steps);
        for _ in 0..steps {
            self.served -= self.served.div_ceil(AGED_PART);
            for level in self.levels.values_mut() {
                *level -= level.div_ceil(AGED_PART);
            }
        }
        self.levels.retain(|_, level| *level > 0);
    }
}

/// Returns work relative to a weight.
pub fn relative(work: u64, weight: Weight) -> Level {
    work.saturating_mul(SCALE) / u64::from(weight.max(1))
}
