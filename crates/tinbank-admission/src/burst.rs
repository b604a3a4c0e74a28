//! Learns how much online load on an engine can rise before batch work is out of the way.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time in which a rise counts as one burst: from the first request of it until withdrawn batch work has been
/// cancelled at the engine. That takes two frames and a step of the engine, and 100 ms more if a frame is
/// lost once; less would cost more frames than fit, see `docs/design/admission.md`.
const RISE_WITHIN: Duration = Duration::from_millis(400);
/// Time in which the memory of a burst fades to half.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// The largest rise seen lately, fading.
#[derive(Clone, Debug)]
pub(crate) struct Burst {
    recent: VecDeque<(Instant, u16)>,
    largest: f64,
    at: Instant,
}

impl Burst {
    /// Starts from a guess, for nothing has been seen yet.
    pub(crate) fn new(guess: u16, now: Instant) -> Self {
        Self {
            recent: VecDeque::from([(now, 0)]),
            largest: guess.into(),
            at: now,
        }
    }

    /// Notes the online load, and tells by how much it has risen within the last moments.
    pub(crate) fn note(&mut self, online: u16, now: Instant) -> u16 {
        self.recent.push_back((now, online));
        // One older point stays: it is the level that the window starts with.
        while self
            .recent
            .get(1)
            .is_some_and(|(at, _)| *at + RISE_WITHIN < now)
        {
            self.recent.pop_front();
        }
        let lowest = self.recent.iter().map(|(_, online)| *online).min();
        let rise = online.saturating_sub(lowest.unwrap_or(online));
        self.largest = self.faded(now).max(rise.into());
        self.at = now;
        rise
    }

    /// Slots to keep free, at `lean_percent` per cent of the largest rise.
    pub(crate) fn headroom(&self, lean_percent: u16, now: Instant) -> u16 {
        let room = self.faded(now) * f64::from(lean_percent) / 100.0;
        // A trace of an old burst must not keep a slot empty for ever.
        (room - 0.25).ceil().max(0.0) as u16
    }

    fn faded(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.largest * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
