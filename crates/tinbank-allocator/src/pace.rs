//! How fast an upstream processes requests, by what hosts measure.
//!
//! Upstreams of one service differ in speed, and some become slow for seconds. The time between two events also grows with the
//! number of requests that an upstream processes, so a measurement is compared with what is usual at that load, see [`usual`].
//! See `docs/design/pace.md`.

pub mod meter;
mod services;
pub mod usual;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use self::usual::Usual;
pub use self::{
    meter::Meter,
    services::{Observation, Services},
};
use crate::size::Tokens;

/// Slowness from which an upstream counts as slow. Upstreams at 0.55 of the usual speed, or 0.42 of that of the fastest, get fewer
/// requests by their cost alone: with fewer slots, more requests are refused and no fewer are late.
const SLOW_FROM: f64 = 2.5;
/// Slowness below which a slow upstream no longer counts as slow. Lower than [`SLOW_FROM`], so that an upstream between the two
/// does not change with each sample.
const SLOW_UNTIL: f64 = 2.0;
/// Relative change of the estimate from which decisions use it. Below it, upstreams of equal speed would be told apart by noise.
const RESOLUTION: f64 = 0.12;
/// Time within which two hosts must measure a change.
const WITNESS_WINDOW: Duration = Duration::from_secs(2);
/// Time after which a second sample of one host counts like a sample of another, if no other host sends any.
const SAME_HOST_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts whose latest samples are kept for an upstream.
const MAX_WITNESSES: usize = 4;
/// The newest sample has a weight of one in this many, unless the pace has changed suddenly.
const SMOOTHING: f64 = 4.0;
/// Ratio of a sample to the estimate from which the pace counts as suddenly changed.
const SUDDEN: f64 = 1.4;
/// Shortest time to read a prompt that is subtracted from late events.
const MIN_READING: Duration = Duration::from_millis(10);
/// Number of latest times of reading that are kept for an upstream: more than begin within one late event.
const MAX_READINGS: usize = 4;
/// Longest time that an upstream is expected to read prompts from now on. If it takes longer, it is slow.
const MAX_READING: Duration = Duration::from_secs(1);
/// Time without confirming samples in which half of an upstream's slowness is forgotten for costs, so that it is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time without samples after which an upstream counts as typical.
const MAX_AGE: Duration = Duration::from_secs(10);

/// What a host measured on one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Time from sending the request to the first event of its response, in milliseconds; 0 if it was not measured.
    pub first_event_ms: u32,
    /// Mean time between the latest events, in microseconds; 0 if there was only one.
    pub interval_us: u32,
    /// Number of events after the first.
    pub events: u32,
}

/// The pace at which an upstream is expected to process a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expected {
    /// Time from sending the request to the first event of its response, in milliseconds.
    pub first_event_ms: u32,
    /// Time between two events, in microseconds.
    pub interval_us: u32,
}

/// What a host found, relative to what is usual.
#[derive(Clone, Copy, Debug)]
struct Finding {
    slowness: f64,
    at: Instant,
}

/// The findings of one host.
#[derive(Clone, Copy, Debug)]
struct Witness {
    by: SocketAddr,
    latest: Finding,
    /// An earlier one, at least [`SAME_HOST_INTERVAL`] before the next that replaces it.
    earlier: Finding,
}

/// A time in which an upstream reads prompts.
#[derive(Clone, Copy, Debug)]
struct Reading {
    start: Instant,
    end: Instant,
}

/// A sudden change of the pace.
#[derive(Clone, Copy, Debug)]
struct Jump {
    at: Instant,
    is_slower: bool,
}

/// The pace of one upstream. A new instance of an upstream starts with an empty one, which counts as typical.
#[derive(Clone, Debug)]
pub struct Pace {
    /// What is usual for online requests at upstreams of the service.
    online: Usual,
    /// The same for batch items, whose events may hold more or fewer tokens.
    batch: Usual,
    /// Time that events take relative to what is usual at the same load.
    estimate: f64,
    /// The estimate that decisions use.
    slowness: f64,
    is_slow: bool,
    /// Whether the upstream was slow when [`Pace::take_change`] was last called.
    was_slow: bool,
    sampled_at: Option<Instant>,
    /// When a host last found the upstream about as slow as the estimate, or slower.
    confirmed_at: Option<Instant>,
    /// When the pace last changed suddenly.
    jump: Option<Jump>,
    witnesses: SmallVec<[Witness; MAX_WITNESSES]>,
    /// When the upstream lately read long prompts, by what it was sent.
    readings: SmallVec<[Reading; MAX_READINGS]>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            online: Usual::default(),
            batch: Usual::default(),
            estimate: 1.0,
            slowness: 1.0,
            is_slow: false,
            was_slow: false,
            sampled_at: None,
            confirmed_at: None,
            jump: None,
            witnesses: SmallVec::new(),
            readings: SmallVec::new(),
        }
    }
}

impl Pace {
    /// Returns the expected time between two events of an online request while the upstream processes `load` requests, in
    /// microseconds.
    pub fn interval_us(&self, load: usize, now: Instant) -> f64 {
        self.online.interval_us(load) * self.aged_slowness(now)
    }

    /// Returns the expected time to the first event of an online request of which the upstream has to read `unread` tokens,
    /// while it processes `load` requests including this one, in microseconds.
    pub fn first_event_us(&self, load: usize, unread: Tokens, now: Instant) -> f64 {
        self.online.first_event_us(load, unread) * self.aged_slowness(now)
    }

    /// Returns the pace to tell the host that sends a request, if any was measured at upstreams of the service.
    pub fn expected(
        &self,
        is_batch: bool,
        load: usize,
        unread: Tokens,
        now: Instant,
    ) -> Option<Expected> {
        let usual = if is_batch { &self.batch } else { &self.online };
        let slowness = self.aged_slowness(now);
        let first_event_ms = usual.first_event_us(load, unread) * slowness / 1_000.0;
        let interval_us = usual.interval_us(load) * slowness;
        usual.is_measured.then_some(Expected {
            first_event_ms: first_event_ms.ceil() as u32,
            interval_us: interval_us.ceil() as u32,
        })
    }

    /// Returns the time between two events of an online request, as it was last measured, while the upstream processes `load`
    /// requests, in microseconds. It does not fall while no sample confirms it.
    pub fn measured_interval_us(&self, load: usize) -> f64 {
        self.online.interval_us(load) * self.slowness
    }

    /// Returns whether the upstream counts as slow.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.is_slow && !self.is_outdated(now)
    }

    /// Records that the upstream was sent a prompt of which it has to read `unread` tokens. Its other requests may have to wait
    /// in the meantime, which does not make it slow.
    pub fn record_prompt(&mut self, unread: Tokens, now: Instant) {
        let reading_us = self.online.reading_us(unread) * self.slowness;
        let reading = Duration::from_micros(reading_us as u64);
        match self.readings.last_mut() {
            Some(last) if now < last.end => last.end = (last.end + reading).min(now + MAX_READING),
            _ if reading < MIN_READING => {}
            _ => {
                if self.readings.len() == MAX_READINGS {
                    self.readings.remove(0);
                }
                self.readings.push(Reading {
                    start: now,
                    end: now + reading.min(MAX_READING),
                });
            }
        }
    }

    /// Returns whether the upstream has begun or ceased to count as slow since the last call, and which of them.
    pub(crate) fn take_change(&mut self, now: Instant) -> Option<bool> {
        let is_slow = self.is_slow(now);
        let changed = std::mem::replace(&mut self.was_slow, is_slow) != is_slow;
        changed.then_some(is_slow)
    }

    /// Returns how much of the time since `start` the upstream has spent on reading prompts.
    fn time_reading(&self, start: Instant, now: Instant) -> Duration {
        let overlap = |it: &Reading| {
            let end = it.end.min(now);
            end.saturating_duration_since(it.start.max(start))
        };
        self.readings.iter().map(overlap).sum()
    }

    /// Records how slow a host found the upstream since a time. The estimate moves only as far as two hosts agree, so that one
    /// with a bad link can't move it.
    fn record(&mut self, by: SocketAddr, slowness: f64, since: Instant, now: Instant) {
        if self.is_outdated(now) {
            self.forget();
        }
        self.sampled_at = Some(now);
        if self.is_from_before(slowness, since) {
            return;
        }
        if let Some(other) = self.confirmation(by, now) {
            self.move_estimate(slowness, other, now);
        }
        if slowness * SUDDEN >= self.estimate {
            self.confirmed_at = Some(now);
        }
        let latest = Finding { slowness, at: now };
        let earlier = match self.witnesses.iter().position(|it| it.by == by) {
            Some(index) => {
                let earlier = self.witnesses.remove(index).earlier;
                let is_due = now >= earlier.at + SAME_HOST_INTERVAL;
                if is_due { latest } else { earlier }
            }
            None => latest,
        };
        if self.witnesses.len() == MAX_WITNESSES {
            self.witnesses.remove(0);
        }
        self.witnesses.push(Witness {
            by,
            latest,
            earlier,
        });
    }

    /// Returns whether a finding is of a time before the pace suddenly changed, and would undo the change.
    fn is_from_before(&self, slowness: f64, since: Instant) -> bool {
        self.jump.is_some_and(|jump| {
            let is_slower = slowness > self.estimate;
            since < jump.at && is_slower != jump.is_slower
        })
    }

    /// Returns what another host found lately. If no other host sends samples, returns what this one found before.
    fn confirmation(&self, by: SocketAddr, now: Instant) -> Option<f64> {
        // Ordered by their latest findings.
        let other = self.witnesses.iter().rev().find(|it| it.by != by);
        match other {
            Some(it) if now < it.latest.at + WITNESS_WINDOW => Some(it.latest.slowness),
            Some(it) if now < it.latest.at + MAX_AGE => None,
            _ => {
                let own = self.witnesses.iter().find(|it| it.by == by)?;
                let is_apart = now >= own.earlier.at + SAME_HOST_INTERVAL;
                is_apart.then_some(own.earlier.slowness)
            }
        }
    }

    /// Moves the estimate towards the nearer of two findings, if both are on the same side of it.
    fn move_estimate(&mut self, a: f64, b: f64, now: Instant) {
        let (low, high) = (a.min(b), a.max(b));
        let target = if low > self.estimate {
            low
        } else if high < self.estimate {
            high
        } else {
            return;
        };
        let ratio = (target / self.estimate).max(self.estimate / target);
        if ratio >= SUDDEN {
            let is_slower = target > self.estimate;
            self.jump = Some(Jump { at: now, is_slower });
            self.estimate = target;
        } else {
            self.estimate += (target - self.estimate) / SMOOTHING;
        }
        self.update_slowness();
    }

    fn update_slowness(&mut self) {
        let is_near = |a: f64, b: f64| (a / b - 1.0).abs() <= RESOLUTION;
        if !is_near(self.estimate, self.slowness) {
            self.slowness = self.estimate;
        }
        if is_near(self.slowness, 1.0) {
            self.slowness = 1.0;
        }
        let limit = if self.is_slow { SLOW_UNTIL } else { SLOW_FROM };
        self.is_slow = self.estimate >= limit;
    }

    /// Changes what is usual, by which all findings are relative.
    fn rescale(&mut self, factor: f64) {
        self.estimate /= factor;
        for it in &mut self.witnesses {
            it.latest.slowness /= factor;
            it.earlier.slowness /= factor;
        }
        self.update_slowness();
    }

    /// Forgets all samples of this upstream.
    pub(crate) fn forget(&mut self) {
        self.estimate = 1.0;
        self.slowness = 1.0;
        self.is_slow = false;
        self.sampled_at = None;
        self.confirmed_at = None;
        self.jump = None;
        self.witnesses.clear();
    }

    /// Returns the slowness for costs. It falls while no sample confirms it, so that a slow upstream gets a request now and then,
    /// and another one soon if the first was fast.
    fn aged_slowness(&self, now: Instant) -> f64 {
        if self.slowness == 1.0 || self.is_outdated(now) {
            return 1.0;
        }
        let confirmed_at = self.confirmed_at.unwrap_or(now);
        let age = now.saturating_duration_since(confirmed_at);
        let excess = (self.slowness - 1.0) * (-age.div_duration_f64(HALF_LIFE)).exp2();
        1.0 + excess
    }

    fn is_outdated(&self, now: Instant) -> bool {
        self.sampled_at.is_none_or(|at| now >= at + MAX_AGE)
    }
}
