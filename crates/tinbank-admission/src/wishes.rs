//! Wishes of this process: what its batch requests could use, told to controllers at a bounded pace.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use tinbank_base::{frame::credit::Wish, id};

/// A wish that nobody repeats is cut down to what runs.
const FADES: Duration = Duration::from_secs(3);
/// A change is told at most this often.
const PACE: Duration = Duration::from_millis(500);
/// A wish is told again after this time, so that one lost frame does not end it.
const REPEAT: Duration = Duration::from_secs(5);
/// Engines that any process may wish for, however many processes there are.
const FEW_ENGINES: usize = 32;
/// Wishes that each engine should get, with a reserve; more would only cost frames.
const WISHES_PER_ENGINE: usize = 8;
/// Engines that a process may wish for at least.
const MIN_ENGINES: usize = 8;

#[derive(Clone, Debug)]
struct Entry {
    wanted: u16,
    running: u16,
    due: Instant,
    asked: Instant,
    told: Option<(u16, Instant)>,
}

/// Wishes by engine and customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Wishes {
    entries: BTreeMap<(id::Upstream, id::Customer), Entry>,
}

impl Wishes {
    pub(crate) fn wish(
        &mut self,
        upstream: id::Upstream,
        customer: &str,
        wanted: u16,
        due: Instant,
        now: Instant,
    ) {
        let entry = self.entry(upstream, customer, due, now);
        entry.wanted = wanted.max(entry.running);
        entry.due = due;
        entry.asked = now;
    }

    pub(crate) fn entered(&mut self, upstream: id::Upstream, customer: &str, now: Instant) {
        let entry = self.entry(upstream, customer, now, now);
        entry.running += 1;
        entry.wanted = entry.wanted.max(entry.running);
        entry.asked = now;
    }

    pub(crate) fn left(&mut self, upstream: id::Upstream, customer: &str) {
        let key = (upstream, customer.to_owned());
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// What is to be told now. `engines` and `processes` tell how many of each there are.
    pub(crate) fn due(&mut self, engines: usize, processes: usize, now: Instant) -> Vec<Wish> {
        for entry in self.entries.values_mut() {
            if now >= entry.asked + FADES {
                entry.wanted = entry.running;
            }
        }
        let allowed = self.allowed(limit(engines, processes));
        let mut wishes = Vec::new();
        self.entries.retain(|(upstream, customer), entry| {
            let wanted = if allowed.contains(upstream) {
                entry.wanted
            } else {
                entry.running
            };
            if entry.is_due(wanted, now) {
                entry.told = Some((wanted, now));
                wishes.push(Wish {
                    upstream: *upstream,
                    customer: customer.clone(),
                    wanted,
                    due_in_ms: millis(entry.due.saturating_duration_since(now)),
                });
            }
            let told = entry.told.map_or(0, |(told, _)| told);
            entry.wanted > 0 || told > 0
        });
        wishes
    }

    /// All wishes are told again, for another process may hear them now.
    pub(crate) fn repeat(&mut self) {
        for entry in self.entries.values_mut() {
            entry.told = entry.told.filter(|(wanted, _)| *wanted == 0);
        }
    }

    /// The engines that we may wish for: those that we are in, then those asked for last.
    fn allowed(&self, limit: usize) -> BTreeSet<id::Upstream> {
        let mut ranked: Vec<_> = self
            .entries
            .iter()
            .map(|((upstream, _), entry)| (entry.running > 0, entry.asked, *upstream))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut allowed = BTreeSet::new();
        for (_, _, upstream) in ranked {
            if allowed.len() == limit {
                break;
            }
            allowed.insert(upstream);
        }
        allowed
    }

    fn entry(
        &mut self,
        upstream: id::Upstream,
        customer: &str,
        due: Instant,
        now: Instant,
    ) -> &mut Entry {
        self.entries
            .entry((upstream, customer.to_owned()))
            .or_insert(Entry {
                wanted: 0,
                running: 0,
                due,
                asked: now,
                told: None,
            })
    }
}

impl Entry {
    fn is_due(&self, wanted: u16, now: Instant) -> bool {
        match self.told {
            None => wanted > 0,
            Some((told, at)) if told != wanted => now >= at + PACE,
            Some((0, _)) => false,
            Some((_, at)) => now >= at + REPEAT,
        }
    }
}

fn limit(engines: usize, processes: usize) -> usize {
    if engines <= FEW_ENGINES {
        return engines;
    }
    let fair = engines * WISHES_PER_ENGINE / processes.max(1);
    fair.max(MIN_ENGINES)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
