//! How many engines may load at a time.

use std::{collections::BTreeMap, time::Instant};

use tinbank_base::id;

use super::Engine;
use crate::wanted::Wanted;

/// One in this many engines of a pool, but at least one, may load at a time.
pub const LOADING_DIVISOR: usize = 8;

/// How many engines of each pool may begin or go on loading in this step.
pub(super) struct Room {
    left: BTreeMap<id::Pool, usize>,
}

impl Room {
    /// Counts the pools' engines that can serve; engines that the reports don't show count as not serving.
    pub fn new(wanted: &Wanted, engines: &[Engine], now: Instant) -> Self {
        let mut sizes = BTreeMap::<id::Pool, usize>::new();
        let mut serving = BTreeMap::<id::Pool, usize>::new();
        for engine in engines.iter().filter(|engine| !engine.leaving) {
            let holds_any = engine.loaded(now).is_some_and(|loaded| {
                let target = wanted.of_pools(&engine.pools);
                loaded
                    .iter()
                    .any(|held| target.iter().any(|want| want.model == held.model))
            });
            for pool in &engine.pools {
                *sizes.entry(pool.clone()).or_default() += 1;
                *serving.entry(pool.clone()).or_default() += usize::from(holds_any);
            }
        }
        let left = sizes
            .into_iter()
            .map(|(pool, size)| {
                let serves = serving.get(&pool).copied().unwrap_or_default();
                let few = (size / LOADING_DIVISOR).max(1);
                // A pool that serves nothing has nothing to protect.
                let room = if serves == 0 { size } else { few };
                (pool, room)
            })
            .collect();
        Self { left }
    }

    /// Whether an engine may load; takes its place in all its pools if so.
    pub fn take(&mut self, engine: &Engine) -> bool {
        let free = engine
            .pools
            .iter()
            .all(|pool| self.left.get(pool).is_some_and(|left| *left > 0));
        if free {
            for pool in &engine.pools {
                if let Some(left) = self.left.get_mut(pool) {
                    *left -= 1;
                }
            }
        }
        free
    }
}
