//! What customers ask for at one host, and what of it the peers have been told. Pure.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tinbank_base::id;

/// Time over which demand is averaged.
pub const AVERAGE: Duration = Duration::from_secs(2);
/// How long a peer's digest is believed. Peers send one a second, so two may be lost.
pub const FRESH: Duration = Duration::from_secs(3);
/// After so long every peer has heard of an announcement, or no longer believes the one before: [`FRESH`] and the
/// longest time that a digest may be under way.
pub const SETTLED: Duration = Duration::from_secs(4);
/// Demand below this is forgotten.
pub const NEGLIGIBLE: f32 = 0.01;

/// Demand of one customer at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second, refused ones included.
    pub requests: f32,
    /// Tokens a second.
    pub tokens: f32,
    /// Requests at once.
    pub at_once: f32,
}

impl Demand {
    /// The smaller one of each.
    pub fn min(self, other: Self) -> Self {
        Self {
            requests: self.requests.min(other.requests),
            tokens: self.tokens.min(other.tokens),
            at_once: self.at_once.min(other.at_once),
        }
    }

    /// The sum of each.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
            at_once: self.at_once + other.at_once,
        }
    }

    /// Whether nothing is asked for.
    pub fn is_negligible(self) -> bool {
        self.requests < NEGLIGIBLE && self.tokens < NEGLIGIBLE && self.at_once < NEGLIGIBLE
    }
}

/// Demand of all customers of one host; a customer left out asks for nothing there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Demand by customer.
    pub customers: BTreeMap<id::Customer, Demand>,
}

/// An average that forgets exponentially.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Average {
    per_second: f64,
    at: Instant,
}

impl Average {
    /// Nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    /// Takes in an amount.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = self.per_second(now) + amount / AVERAGE.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// The amount a second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-passed / AVERAGE.as_secs_f64()).exp()
    }
}

/// What the peers were told, and when.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announced {
    told: VecDeque<(Instant, Demand)>,
}

impl Announced {
    /// The peers are told now.
    pub fn tell(&mut self, demand: Demand, now: Instant) {
        self.told.push_back((now, demand));
        // Of those that have settled only the newest counts.
        while self.told.get(1).is_some_and(|(at, _)| *at + SETTLED <= now) {
            self.told.pop_front();
        }
    }

    /// What every peer has heard of or assumes: the smallest of the newest settled announcement and all later ones.
    pub fn settled(&self, now: Instant) -> Demand {
        let newest = self.told.iter().rposition(|(at, _)| *at + SETTLED <= now);
        let Some(newest) = newest else {
            return Demand::default();
        };
        let counting = self.told.range(newest..).map(|(_, demand)| *demand);
        counting.reduce(Demand::min).unwrap_or_default()
    }
}
