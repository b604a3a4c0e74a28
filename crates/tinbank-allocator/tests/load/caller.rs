//! Callers: arrival times of their requests, and the results.

use std::time::{Duration, Instant};

/// Identifies a request or an item.
pub type Number = usize;

/// One caller's request, over all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    pub first_attempt: Instant,
    pub deadline: Instant,
    /// When the current attempt arrived.
    pub received: Instant,
    pub attempts: u32,
    /// Index of its customer's [`Profile`], if it has a customer.
    pub customer: Option<usize>,
}

/// The requests of a customer.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    pub weight: u32,
    pub rank: u8,
    /// Tokens of the prompt; a request of 1,000 holds its slot for the usual time.
    pub tokens: u32,
}

/// Result of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerResult {
    OnTime,
    Late,
    /// Refused in its last attempt, after this time.
    Refused(Duration),
}

/// Results of all callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub requests: usize,
    pub on_time: usize,
    pub late: usize,
    pub refused: usize,
    /// Maximum time for which a request was held before it was refused in its last attempt.
    pub longest_refused: Duration,
    /// Completed batch items.
    pub items: usize,
}

/// What became of a customer's request.
#[derive(Clone, Copy, Debug)]
pub struct CustomerResult {
    pub customer: usize,
    /// When the caller made its first attempt.
    pub sent: Instant,
    pub result: CallerResult,
}

impl Tally {
    pub fn record(&mut self, result: CallerResult) {
        match result {
            CallerResult::OnTime => self.on_time += 1,
            CallerResult::Late => self.late += 1,
            CallerResult::Refused(held) => {
                self.refused += 1;
                self.longest_refused = self.longest_refused.max(held);
            }
        }
    }
}

/// Arrival rate over time.
#[derive(Clone, Copy, Debug)]
pub enum Pattern {
    Steady,
    /// Alternates between twice the rate and a fifth of it, for a second each.
    OnOff,
    /// Two seconds at the rate, three at three times the rate, the rest at half of it.
    Jump,
    /// Twenty times the rate for a tenth of a second, as when callers retry after an outage, otherwise the rate.
    RetryBurst,
}

impl Pattern {
    /// Returns the load at a time, in percent of the rate.
    fn percent(self, at: Duration) -> u64 {
        let ms = at.as_millis();
        match self {
            Self::Steady => 100,
            Self::OnOff if ms % 2_000 < 1_000 => 200,
            Self::OnOff => 20,
            Self::Jump if ms < 2_000 => 100,
            Self::Jump if ms < 5_000 => 300,
            Self::Jump => 50,
            Self::RetryBurst if (1_000..1_100).contains(&ms) => 2_000,
            Self::RetryBurst => 100,
        }
    }
}

/// Returns arrival times for `length`: evenly spaced at the rate of the pattern, with some jitter.
pub fn arrivals(
    pattern: Pattern,
    per_second: f64,
    length: Duration,
    start: Instant,
) -> Vec<Instant> {
    const STEP: Duration = Duration::from_millis(5);
    let mut rng = Rng(7);
    let mut arrivals = Vec::new();
    let mut due = 0.0;
    let mut at = Duration::ZERO;
    while at < length {
        due += per_second * STEP.as_secs_f64() * pattern.percent(at) as f64 / 100.0;
        while due >= 1.0 {
            due -= 1.0;
            let jitter = Duration::from_micros(rng.next() % 20_000);
            arrivals.push(start + at + jitter);
        }
        at += STEP;
    }
    arrivals.sort_unstable();
    arrivals
}

/// Deterministic pseudorandom number generator.
#[derive(Debug)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 33
    }
}
