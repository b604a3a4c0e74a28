//! Limits how many engines load at a time.

use std::{collections::BTreeMap, time::Instant};

use tinbank_base::id;

use super::Engine;
use crate::desired::DesiredArtifacts;

/// The number of engines in a pool divided by this, but at least one, may load at a time.
pub const LOADING_DIVISOR: usize = 8;

/// Number of engines per pool that may still start or continue loading in this planning step.
pub(super) struct LoadingBudget {
    remaining: BTreeMap<id::Pool, usize>,
}

impl LoadingBudget {
    /// Creates the budget from the numbers of engines and of serving engines. Engines without a recent report count as not
    /// serving.
    pub fn new(desired: &DesiredArtifacts, engines: &[Engine], now: Instant) -> Self {
        let mut sizes = BTreeMap::<id::Pool, usize>::new();
        let mut serving = BTreeMap::<id::Pool, usize>::new();
        for engine in engines.iter().filter(|engine| !engine.leaving) {
            let is_serving = engine.loaded(now).is_some_and(|loaded| {
                let target = desired.of_pools(&engine.pools);
                loaded
                    .iter()
                    .any(|held| target.iter().any(|want| want.model == held.model))
            });
            for pool in &engine.pools {
                *sizes.entry(pool.clone()).or_default() += 1;
                *serving.entry(pool.clone()).or_default() += usize::from(is_serving);
            }
        }
        let remaining = sizes
            .into_iter()
            .map(|(pool, size)| {
                let serving_engines = serving.get(&pool).copied().unwrap_or_default();
                let limited = (size / LOADING_DIVISOR).max(1);
                // Without serving engines, there is no capacity to protect.
                let budget = if serving_engines == 0 { size } else { limited };
                (pool, budget)
            })
            .collect();
        Self { remaining }
    }

    /// Returns whether an engine may load, and if so, reserves a place in each of its pools.
    pub fn reserve(&mut self, engine: &Engine) -> bool {
        let free = engine.pools.iter().all(|pool| {
            self.remaining
                .get(pool)
                .is_some_and(|remaining| *remaining > 0)
        });
        if free {
            for pool in &engine.pools {
                if let Some(remaining) = self.remaining.get_mut(pool) {
                    *remaining -= 1;
                }
            }
        }
        free
    }
}
