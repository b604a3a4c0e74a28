//! Credit requests of this process: the credits that its batch requests could use, sent to controllers at a bounded
//! rate.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use tinbank_base::{frame::credit::CreditRequest, id};

/// Time without activity after which the wanted credits are reduced to the running batch requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest interval between updates of a credit request.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unchanged credit request is sent again, so that it survives a lost frame.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Up to this number of engines in the fleet, each process may request credits for all of them.
const UNLIMITED_ENGINES: usize = 32;
/// Mean number of processes that request credits for one engine, in fleets with more engines.
const REQUESTS_PER_ENGINE: usize = 8;
/// Minimum number of engines that a process may request credits for.
const MIN_ENGINES: usize = 8;

#[derive(Clone, Debug)]
struct Entry {
    wanted: u16,
    running: u16,
    due: Instant,
    last_requested: Instant,
    sent: Option<(u16, Instant)>,
}

/// Wanted credits and running batch requests, by engine and customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct CreditRequests {
    entries: BTreeMap<(id::Upstream, id::Customer), Entry>,
}

impl CreditRequests {
    pub(crate) fn set_wanted(
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
        entry.last_requested = now;
    }

    pub(crate) fn on_enter(&mut self, upstream: id::Upstream, customer: &str, now: Instant) {
        let entry = self.entry(upstream, customer, now, now);
        entry.running += 1;
        entry.wanted = entry.wanted.max(entry.running);
        entry.last_requested = now;
    }

    pub(crate) fn on_leave(&mut self, upstream: id::Upstream, customer: &str) {
        let key = (upstream, customer.to_owned());
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Returns the credit requests to send now. `engines` and `processes` are the numbers of each in the fleet.
    pub(crate) fn take_due(
        &mut self,
        engines: usize,
        processes: usize,
        now: Instant,
    ) -> Vec<CreditRequest> {
        for entry in self.entries.values_mut() {
            if now >= entry.last_requested + IDLE_TIMEOUT {
                entry.wanted = entry.running;
            }
        }
        let selected = self.select_engines(engine_limit(engines, processes));
        let mut requests = Vec::new();
        self.entries.retain(|(upstream, customer), entry| {
            let wanted = if selected.contains(upstream) {
                entry.wanted
            } else {
                entry.running
            };
            if entry.is_due(wanted, now) {
                entry.sent = Some((wanted, now));
                requests.push(CreditRequest {
                    upstream: *upstream,
                    customer: customer.clone(),
                    wanted,
                    due_in_ms: millis(entry.due.saturating_duration_since(now)),
                });
            }
            let sent = entry.sent.map_or(0, |(sent, _)| sent);
            entry.wanted > 0 || sent > 0
        });
        requests
    }

    /// Marks all credit requests to be sent again, since a controller has changed.
    pub(crate) fn resend_all(&mut self) {
        for entry in self.entries.values_mut() {
            entry.sent = entry.sent.filter(|(wanted, _)| *wanted == 0);
        }
    }

    /// Selects the engines to request credits for: those with running batch requests, then the most recently requested.
    fn select_engines(&self, limit: usize) -> BTreeSet<id::Upstream> {
        let mut ranked: Vec<_> = self
            .entries
            .iter()
            .map(|((upstream, _), entry)| (entry.running > 0, entry.last_requested, *upstream))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut selected = BTreeSet::new();
        for (_, _, upstream) in ranked {
            if selected.len() == limit {
                break;
            }
            selected.insert(upstream);
        }
        selected
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
                last_requested: now,
                sent: None,
            })
    }
}

impl Entry {
    fn is_due(&self, wanted: u16, now: Instant) -> bool {
        match self.sent {
            None => wanted > 0,
            Some((sent, at)) if sent != wanted => now >= at + MIN_UPDATE_INTERVAL,
            Some((0, _)) => false,
            Some((_, at)) => now >= at + REPEAT_INTERVAL,
        }
    }
}

fn engine_limit(engines: usize, processes: usize) -> usize {
    if engines <= UNLIMITED_ENGINES {
        return engines;
    }
    let fair = engines * REQUESTS_PER_ENGINE / processes.max(1);
    fair.max(MIN_ENGINES)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
