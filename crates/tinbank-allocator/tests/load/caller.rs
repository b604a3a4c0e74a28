//! Callers: when their requests come, and what they get.

use std::time::{Duration, Instant};

/// Number of a request or of an item.
pub type Number = usize;

/// One caller's request, over all its tries.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    pub first_try: Instant,
    pub deadline: Instant,
    /// When this try came.
    pub received: Instant,
    pub tries: u32,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    InTime,
    Late,
    /// It was refused each time, after so long in all.
    Refused(Duration),
}

/// What all callers got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub asked: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    /// Longest time for which a request was held that was refused in the end, over its tries.
    pub longest_in_vain: Duration,
    /// Batch items that were done.
    pub items: usize,
}

impl Tally {
    pub fn note(&mut self, got: Got) {
        match got {
            Got::InTime => self.in_time += 1,
            Got::Late => self.late += 1,
            Got::Refused(held) => {
                self.refused += 1;
                self.longest_in_vain = self.longest_in_vain.max(held);
            }
        }
    }
}

/// How arrivals go over time.
#[derive(Clone, Copy, Debug)]
pub enum Pattern {
    Steady,
    /// A second at twice the rate, a second at a fifth of it.
    OnOff,
    /// Two seconds at the rate, three at three times the rate, the rest at half of it.
    Jump,
    /// All callers of two seconds come within a tenth of a second, and then at the rate.
    AllBack,
}

impl Pattern {
    /// Load at a time, as a multiple of the rate, in percent.
    fn percent(self, at: Duration) -> u64 {
        let ms = at.as_millis();
        match self {
            Self::Steady => 100,
            Self::OnOff if ms % 2_000 < 1_000 => 200,
            Self::OnOff => 20,
            Self::Jump if ms < 2_000 => 100,
            Self::Jump if ms < 5_000 => 300,
            Self::Jump => 50,
            Self::AllBack if (1_000..1_100).contains(&ms) => 2_000,
            Self::AllBack => 100,
        }
    }
}

/// When requests come, evenly but for some chance, at a rate a second for some time.
pub fn arrivals(
    pattern: Pattern,
    per_second: f64,
    length: Duration,
    start: Instant,
) -> Vec<Instant> {
    const STEP: Duration = Duration::from_millis(5);
    let mut chance = Chance(7);
    let mut arrivals = Vec::new();
    let mut due = 0.0;
    let mut at = Duration::ZERO;
    while at < length {
        due += per_second * STEP.as_secs_f64() * pattern.percent(at) as f64 / 100.0;
        while due >= 1.0 {
            due -= 1.0;
            let jitter = Duration::from_micros(chance.next() % 20_000);
            arrivals.push(start + at + jitter);
        }
        at += STEP;
    }
    arrivals.sort_unstable();
    arrivals
}

/// Numbers that look random and are the same on each run.
#[derive(Debug)]
pub struct Chance(pub u64);

impl Chance {
    pub fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }
}
