//! The holder of credits: a state machine that lets batch requests into engines and takes them out again.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tinbank_base::{frame::credit::Grant, id, record::Writer};

/// Silence of our own control task after which we count as paused; it ticks every 100 ms.
const PAUSED: Duration = Duration::from_millis(500);
/// Time after a pause in which grants are not taken: those that waited in the socket are old.
const DRAIN: Duration = Duration::from_millis(300);

/// Number of a pass.
pub type Number = u64;

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Cancel the request of this pass at the engine.
    Cancel(Number),
}

/// Credits and requests by engine.
#[derive(Clone, Debug)]
pub struct Holder {
    engines: BTreeMap<id::Upstream, Seat>,
    number: Number,
    heard: Instant,
    deaf_until: Instant,
}

#[derive(Clone, Debug, Default)]
struct Seat {
    /// The process whose grants count.
    controller: Option<id::Process>,
    grant: Option<Held>,
    cap: Option<Held>,
    /// Last rounds, so that a frame that comes late changes nothing.
    rounds: BTreeMap<id::Process, (id::Incarnation, u64)>,
    /// Passes out, the oldest first; cancelled ones stay until they are given back.
    passes: BTreeMap<Number, bool>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    credits: u16,
    until: Instant,
}

impl Holder {
    /// Holds nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            engines: BTreeMap::new(),
            number: 0,
            heard: now,
            deaf_until: now,
        }
    }

    /// Lets a request in if a credit is free.
    pub fn enter(&mut self, upstream: id::Upstream, now: Instant) -> Option<Number> {
        if now.saturating_duration_since(self.heard) > PAUSED {
            return None;
        }
        let seat = self.engines.get_mut(&upstream)?;
        if seat.passes.len() >= seat.allowed(now) {
            return None;
        }
        self.number += 1;
        seat.passes.insert(self.number, false);
        Some(self.number)
    }

    /// Takes a pass back.
    pub fn leave(&mut self, upstream: id::Upstream, number: Number) {
        if let Some(seat) = self.engines.get_mut(&upstream) {
            seat.passes.remove(&number);
        }
    }

    /// Says whose grants count for an engine. What is held stays until its deadline.
    pub fn set_controller(&mut self, upstream: id::Upstream, controller: Option<id::Process>) {
        self.engines.entry(upstream).or_default().controller = controller;
    }

    /// Forgets engines that are gone. Requests in them are cancelled.
    pub fn retain(&mut self, keep: impl Fn(id::Upstream) -> bool, now: Instant) -> Vec<Action> {
        for (&upstream, seat) in &mut self.engines {
            if !keep(upstream) {
                seat.grant = None;
                seat.controller = None;
            }
        }
        self.engines
            .retain(|&upstream, seat| keep(upstream) || !seat.passes.is_empty());
        self.settle(now)
    }

    /// Takes in a grant, whether it raises or lowers.
    pub fn granted(&mut self, from: Writer, grant: Grant, now: Instant) -> Vec<Action> {
        self.note_time(now);
        let Some(seat) = self.engines.get_mut(&grant.upstream) else {
            return Vec::new();
        };
        if seat.controller != Some(from.process) || !seat.is_newer(from, grant.round) {
            return Vec::new();
        }
        // What lowers is never too old; what waited while we were paused may be.
        let mut credits = grant.credits;
        if now < self.deaf_until {
            credits = credits.min(seat.credits(now));
        }
        seat.grant = Some(Held {
            credits,
            until: now + Duration::from_millis(grant.holds_ms.into()),
        });
        self.settle(now)
    }

    /// Takes in a word of the second controller: it only lowers, for a while.
    pub fn withdrawn(&mut self, from: Writer, grant: Grant, now: Instant) -> Vec<Action> {
        self.note_time(now);
        let Some(seat) = self.engines.get_mut(&grant.upstream) else {
            return Vec::new();
        };
        if !seat.is_newer(from, grant.round) {
            return Vec::new();
        }
        seat.cap = Some(Held {
            credits: grant.credits,
            until: now + Duration::from_millis(grant.holds_ms.into()),
        });
        self.settle(now)
    }

    /// Lets credits run out. To be called every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.note_time(now);
        self.settle(now)
    }

    /// Requests in an engine that have not been cancelled.
    pub fn running(&self, upstream: id::Upstream) -> usize {
        let seat = self.engines.get(&upstream);
        seat.map_or(0, Seat::running)
    }

    /// Credits in force for an engine.
    pub fn allowed(&self, upstream: id::Upstream, now: Instant) -> usize {
        let seat = self.engines.get(&upstream);
        seat.map_or(0, |seat| seat.allowed(now))
    }

    fn note_time(&mut self, now: Instant) {
        if now.saturating_duration_since(self.heard) > PAUSED {
            self.deaf_until = now + DRAIN;
            for seat in self.engines.values_mut() {
                seat.grant = None;
            }
        }
        self.heard = now;
    }

    /// Cancels what is in engines beyond the credits: the newest first, for they have the least to lose.
    fn settle(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for seat in self.engines.values_mut() {
            let over = seat.running().saturating_sub(seat.allowed(now));
            let running = seat.passes.iter_mut().rev();
            let newest = running.filter(|(_, cancelled)| !**cancelled).take(over);
            for (number, cancelled) in newest {
                *cancelled = true;
                actions.push(Action::Cancel(*number));
            }
        }
        actions
    }
}

impl Seat {
    fn running(&self) -> usize {
        self.passes
            .values()
            .filter(|cancelled| !**cancelled)
            .count()
    }

    fn credits(&self, now: Instant) -> u16 {
        let held = self.grant.filter(|held| held.until > now);
        held.map_or(0, |held| held.credits)
    }

    fn allowed(&self, now: Instant) -> usize {
        let cap = self.cap.filter(|held| held.until > now);
        let cap = cap.map_or(u16::MAX, |held| held.credits);
        self.credits(now).min(cap).into()
    }

    fn is_newer(&mut self, from: Writer, round: u64) -> bool {
        let last = self.rounds.entry(from.process).or_default();
        let newer = (from.incarnation, round) > *last;
        if newer {
            *last = (from.incarnation, round);
        }
        newer
    }
}
