//! Estimates how much the online load of an engine can rise before withdrawn batch requests have freed their slots.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Window within which a rise counts as one burst: the time that a withdrawal takes to free a slot, with one lost
/// frame. See `docs/design/admission.md`. A withdrawal takes two frames and a step of the engine, and 100 ms more if a
/// frame is lost. A shorter window costs more frames than fit.
const BURST_WINDOW: Duration = Duration::from_millis(400);
/// Half-life of the largest burst.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// The largest recent rise, with exponential decay.
#[derive(Clone, Debug)]
pub(crate) struct Burst {
    recent: VecDeque<(Instant, u16)>,
    largest: f64,
    updated_at: Instant,
}

impl Burst {
    /// Starts from an assumed burst of `initial` requests.
    pub(crate) fn new(initial: u16, now: Instant) -> Self {
        Self {
            recent: VecDeque::from([(now, 0)]),
            largest: initial.into(),
            updated_at: now,
        }
    }

    /// Records the online load and returns its rise within the last [`BURST_WINDOW`].
    pub(crate) fn record(&mut self, online: u16, now: Instant) -> u16 {
        self.recent.push_back((now, online));
        // Keeps one older point as the level at the start of the window.
        while self
            .recent
            .get(1)
            .is_some_and(|(at, _)| *at + BURST_WINDOW < now)
        {
            self.recent.pop_front();
        }
        let lowest = self.recent.iter().map(|(_, online)| *online).min();
        let rise = online.saturating_sub(lowest.unwrap_or(online));
        self.largest = self.decayed(now).max(rise.into());
        self.updated_at = now;
        rise
    }

    /// Returns the number of slots to keep free: `lean_percent` of the largest rise.
    pub(crate) fn headroom(&self, lean_percent: u16, now: Instant) -> u16 {
        let room = self.decayed(now) * f64::from(lean_percent) / 100.0;
        // Rounds down small remainders, so that an old burst does not keep a slot free forever.
        (room - 0.25).ceil().max(0.0) as u16
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.largest * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
