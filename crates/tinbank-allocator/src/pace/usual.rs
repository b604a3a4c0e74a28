//! What is usual at the upstreams of a service: the time between events by load, and the time to the first one.

use crate::size::Tokens;

/// Time between two events at a load of one before any sample, in microseconds.
const DEFAULT_INTERVAL_US: f64 = 40_000.0;
/// Increase of that time with each further request, as a fraction, before samples at different loads show it.
const DEFAULT_SLOPE: f64 = 0.05;
/// Bounds of the increase. The lower one prefers the less loaded of two equal upstreams.
const SLOPE_RANGE: (f64, f64) = (0.02, 0.5);
/// Weight of the default increase in the regression, in squared requests. Samples at one load alone do not show it.
const SLOPE_WEIGHT: f64 = 20.0;
/// Factor by which older samples count less with each new one: about the latest hundred count.
const FORGETTING: f64 = 0.99;
/// Time to read one prompt token before any sample, in microseconds.
const DEFAULT_READING_US: f64 = 10.0;
/// Bounds of the time to read one prompt token, in microseconds.
const READING_RANGE: (f64, f64) = (1.0, 200.0);
/// Prompt length from which the time to the first event shows how fast prompts are read.
const MIN_READ_TOKENS: Tokens = 2_000;
/// Bounds of the time to the first event of a short prompt, relative to the time between two events.
const FIRST_RANGE: (f64, f64) = (0.2, 10.0);
/// The newest first event has a weight of one in this many.
const FIRST_SMOOTHING: f64 = 16.0;
/// Accepted deviation of a sample from its upstream's estimate. An upstream whose pace has just changed does not show what is
/// usual.
const MAX_DEVIATION: f64 = 0.3;
/// Weight of the samples from which deviating ones are ignored.
const MIN_WEIGHT: f64 = 8.0;

/// What is usual for requests of one class at upstreams of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Whether it is based on samples.
    pub is_measured: bool,
    /// Time between two events at a load of one, in microseconds.
    base_us: f64,
    /// Increase of that time with each further request, as a fraction.
    slope: f64,
    /// Time to the first event of an empty prompt, relative to the time between two events.
    first: f64,
    /// Time to read one prompt token, in microseconds.
    reading_us: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            is_measured: false,
            base_us: DEFAULT_INTERVAL_US,
            slope: DEFAULT_SLOPE,
            first: 1.0,
            reading_us: DEFAULT_READING_US,
        }
    }
}

impl Usual {
    /// Returns the time between two events at a load, in microseconds.
    pub fn interval_us(&self, load: usize) -> f64 {
        self.base_us * (1.0 + self.slope * load.saturating_sub(1) as f64)
    }

    /// Returns the time to the first event, in microseconds.
    pub fn first_event_us(&self, load: usize, unread: Tokens) -> f64 {
        self.first * self.interval_us(load) + self.reading_us(unread)
    }

    /// Returns the time to read a number of prompt tokens, in microseconds.
    pub fn reading_us(&self, tokens: Tokens) -> f64 {
        self.reading_us * f64::from(tokens)
    }
}

/// Learns what is usual from samples. A linear regression of the time between events over the load.
#[derive(Clone, Debug, Default)]
pub(super) struct Learned {
    pub usual: Usual,
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl Learned {
    /// Records the time between events at a load, by an upstream of this slowness.
    pub fn record_interval(&mut self, load: usize, interval_us: f64, slowness: f64) {
        let y = interval_us / slowness;
        let deviation = (y / self.usual.interval_us(load) - 1.0).abs();
        if self.weight >= MIN_WEIGHT && deviation > MAX_DEVIATION {
            return;
        }
        let x = load.saturating_sub(1) as f64;
        let sums = [
            (&mut self.weight, 1.0),
            (&mut self.sum_x, x),
            (&mut self.sum_y, y),
            (&mut self.sum_xx, x * x),
            (&mut self.sum_xy, x * y),
        ];
        for (sum, value) in sums {
            *sum = *sum * FORGETTING + value;
        }
        self.fit();
    }

    /// Records the time to a first event, after the pace between events is known.
    pub fn record_first_event(
        &mut self,
        load: usize,
        unread: Tokens,
        first_us: f64,
        slowness: f64,
    ) {
        let usual = &mut self.usual;
        let first_us = first_us / slowness;
        let interval_us = usual.interval_us(load);
        if unread >= MIN_READ_TOKENS {
            let reading_us = (first_us - usual.first * interval_us) / f64::from(unread);
            let reading_us = reading_us.clamp(READING_RANGE.0, READING_RANGE.1);
            usual.reading_us += (reading_us - usual.reading_us) / FIRST_SMOOTHING;
        } else {
            let first = (first_us - usual.reading_us(unread)) / interval_us;
            let first = first.clamp(FIRST_RANGE.0, FIRST_RANGE.1);
            usual.first += (first - usual.first) / FIRST_SMOOTHING;
        }
    }

    /// Multiplies all times between events, because what is usual has changed.
    pub fn rescale(&mut self, factor: f64) {
        self.sum_y *= factor;
        self.sum_xy *= factor;
        self.usual.base_us *= factor;
    }

    fn fit(&mut self) {
        let (mean_x, mean_y) = (self.sum_x / self.weight, self.sum_y / self.weight);
        let s_xx = self.sum_xx - self.sum_x * mean_x;
        let s_xy = self.sum_xy - self.sum_x * mean_y;
        let default_rise = DEFAULT_SLOPE * mean_y / (1.0 + DEFAULT_SLOPE * mean_x);
        let rise = (s_xy + SLOPE_WEIGHT * default_rise) / (s_xx + SLOPE_WEIGHT);
        let base_us = (mean_y - rise * mean_x).max(mean_y / 100.0);
        let slope = (rise / base_us).clamp(SLOPE_RANGE.0, SLOPE_RANGE.1);
        self.usual.slope = slope;
        self.usual.base_us = mean_y / (1.0 + slope * mean_x);
        self.usual.is_measured = true;
    }
}
