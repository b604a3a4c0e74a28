//! Keeper of limits: grants parts of them to hosts with demand, in total at most the pool.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::{
    frame::demand::{Claim, ClaimRequest, Grant, Part, Recall},
    id,
    record::Writer,
};

use super::{
    bucket::Bucket,
    claim::{GRANT_TTL, MAX_GRANT_TTL, PARTIAL_GRANT_TTL},
    demand::{FRAME_BYTES, LIMIT_BYTES, PART_BYTES, budget, from_millis, millis},
    ring::Ring,
    share,
};

/// Target rate of claim requests. With more claimants grants are valid for longer, so that renewals come later.
const TARGET_ANSWERS_PER_SECOND: u32 = 8;
/// A grant of at least this fraction of the target counts as complete.
const NEAR_TARGET: f64 = 0.95;

/// Shortest interval between two recalls to one host for one limit.
const MIN_RECALL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of hosts that are recalled at a time for one limit, those with the largest difference first.
const MAX_RECALLS: usize = 4;

/// Grants of the limits that are assigned to one host.
#[derive(Clone, Debug)]
pub struct Keeper {
    own: Writer,
    ring: Ring,
    limits: BTreeMap<id::Limit, LimitState>,
    byte_budget: Bucket,
}

/// Answer of a keeper to a claim request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Answer to the requesting host; `None` if this host is not the keeper or the byte budget is used up.
    pub grant: Option<Grant>,
    /// Recalls to hosts that hold too much while the requesting host lacks, or that lack what it has returned.
    pub recalls: Vec<(Writer, Recall)>,
}

#[derive(Clone, Debug)]
struct LimitState {
    /// Time from which no other keeper's grants are valid; `None` if there were none.
    exclusive_from: Option<Instant>,
    claimants: BTreeMap<Writer, Claimant>,
}

#[derive(Clone, Copy, Debug)]
struct Claimant {
    round: u32,
    limit_value: u32,
    demand: f64,
    /// Largest amount that may be valid at the host: the larger of what it reported and what it was granted since.
    outstanding: f64,
    until: Instant,
    recalled: Option<Instant>,
}

impl Keeper {
    pub fn new(own: Writer, now: Instant) -> Self {
        Self {
            own,
            ring: Ring::default(),
            limits: BTreeMap::new(),
            byte_budget: Bucket::new(budget(1), now),
        }
    }

    /// Sets the serving hosts, and drops the limits that are now assigned to others.
    pub fn set_hosts(&mut self, hosts: BTreeSet<id::Host>, now: Instant) {
        if !self.ring.set(hosts, now) {
            return;
        }
        let (ring, own) = (&self.ring, self.own.process.host);
        self.limits
            .retain(|limit, _| ring.keeper(*limit) == Some(own));
    }

    /// Handles a claim request.
    pub fn on_claim_request(
        &mut self,
        from: Writer,
        claim_request: &ClaimRequest,
        now: Instant,
    ) -> Answer {
        let own = self.own.process.host;
        let keeps = |claim: &Claim| self.ring.keeper(claim.limit) == Some(own);
        if !claim_request.claims.iter().all(keeps) {
            return Answer::default();
        }
        let answers = self.may_answer(from, claim_request, now);
        let grant_ttl = self.grant_ttl();
        let hosts = self.ring.hosts().len();
        let parts = claim_request.claims.iter().map(|claim| {
            let ring = &self.ring;
            let state = self
                .limits
                .entry(claim.limit)
                .or_insert_with(|| LimitState {
                    exclusive_from: ring.exclusive_from(claim.limit, own),
                    claimants: BTreeMap::new(),
                });
            state.record_claim(from, claim_request.round, claim, now);
            if !answers {
                return None;
            }
            state.grant(from, claim_request.round, hosts, grant_ttl, now)
        });
        let parts: Vec<Option<Part>> = parts.collect();
        let parts = parts.into_iter().collect::<Option<_>>();
        let round = claim_request.round;
        Answer {
            grant: parts.map(|parts| Grant { round, parts }),
            recalls: self.recalls(from, claim_request, now),
        }
    }

    /// Returns the recalls that a claim request makes necessary.
    fn recalls(
        &mut self,
        from: Writer,
        claim_request: &ClaimRequest,
        now: Instant,
    ) -> Vec<(Writer, Recall)> {
        let hosts = self.ring.hosts().len();
        let mut recalls: BTreeMap<Writer, Recall> = BTreeMap::new();
        for claim in &claim_request.claims {
            let Some(state) = self.limits.get_mut(&claim.limit) else {
                continue;
            };
            for writer in state.select_recalls(from, hosts, now) {
                let price = FRAME_BYTES + LIMIT_BYTES;
                let is_own = writer == self.own;
                if !is_own && self.byte_budget.check(price, budget(hosts)).is_err() {
                    continue;
                }
                if !is_own {
                    self.byte_budget.take(price);
                }
                let recall = recalls.entry(writer).or_insert_with(|| Recall {
                    limits: SmallVec::new(),
                });
                recall.limits.push(claim.limit);
            }
        }
        recalls.into_iter().collect()
    }

    /// Removes expired claims. Call it about once per second.
    pub fn remove_expired(&mut self, now: Instant) {
        for state in self.limits.values_mut() {
            state.claimants.retain(|_, claimant| now < claimant.until);
        }
        self.limits.retain(|_, state| !state.claimants.is_empty());
    }

    /// Returns the number of pairs of a limit and a host with a claim.
    pub fn claimants(&self) -> usize {
        self.limits
            .values()
            .map(|state| state.claimants.len())
            .sum()
    }

    fn may_answer(&mut self, from: Writer, claim_request: &ClaimRequest, now: Instant) -> bool {
        if from == self.own {
            return true;
        }
        let price = FRAME_BYTES + PART_BYTES * claim_request.claims.len() as f64;
        let budget = budget(self.ring.hosts().len());
        self.byte_budget.refill(budget, now);
        let left = self.byte_budget.check(price, budget).is_ok();
        if left {
            self.byte_budget.take(price);
        }
        left
    }

    /// Returns the validity of grants, which grows with the number of claimants to limit the rate of renewals.
    fn grant_ttl(&self) -> Duration {
        let renewals =
            u32::try_from(self.claimants()).unwrap_or(u32::MAX) / TARGET_ANSWERS_PER_SECOND;
        Duration::from_secs((2 * u64::from(renewals)).min(MAX_GRANT_TTL.as_secs())).max(GRANT_TTL)
    }
}

impl LimitState {
    /// Records a claim, which replaces the earlier state of the host. The expiry of earlier grants is kept.
    fn record_claim(&mut self, from: Writer, round: u32, claim: &Claim, now: Instant) {
        self.claimants.retain(|_, claimant| now < claimant.until);
        let known = self.claimants.get(&from).copied();
        if known.is_some_and(|known| round <= known.round) {
            return;
        }
        // What an unknown host holds was granted by another keeper.
        let unknown_until = match claim.held_millis {
            0 => now,
            _ => now + MAX_GRANT_TTL,
        };
        let held_until = known.map_or(unknown_until, |known| known.until);
        let claimant = Claimant {
            round,
            limit_value: claim.limit_value,
            demand: from_millis(claim.demand_millis),
            outstanding: from_millis(claim.held_millis),
            until: held_until.max(now + GRANT_TTL),
            recalled: known.and_then(|known| known.recalled),
        };
        self.claimants.insert(from, claimant);
    }

    fn pool(&self) -> f64 {
        let limit_value = self
            .claimants
            .values()
            .map(|claimant| claimant.limit_value)
            .min();
        share::pool(limit_value.unwrap_or(0).into())
    }

    /// Returns the amount that a host should get.
    fn target(&self, claimant: &Claimant, hosts: usize) -> f64 {
        let total: f64 = self
            .claimants
            .values()
            .map(|claimant| claimant.demand)
            .sum();
        let demand = share::Demand {
            own: claimant.demand,
            others: (total - claimant.demand).max(0.0),
            claimants: self.claimants.len(),
            hosts,
        };
        share::target(self.pool(), demand)
    }

    /// Selects the hosts to recall after a claim request of `from`: those that hold too much if `from` lacks, or else
    /// those that lack if a part of the pool is free.
    fn select_recalls(&mut self, from: Writer, hosts: usize, now: Instant) -> Vec<Writer> {
        let Some(claimant) = self.claimants.get(&from) else {
            return Vec::new();
        };
        let lack =
            |claimant: &Claimant| self.target(claimant, hosts) * NEAR_TARGET - claimant.outstanding;
        let excess =
            |claimant: &Claimant| claimant.outstanding * NEAR_TARGET - self.target(claimant, hosts);
        let outstanding = self.claimants.values().map(|claimant| claimant.outstanding);
        let left = self.pool() - outstanding.sum::<f64>();
        let urgency: &dyn Fn(&Claimant) -> f64 = if lack(claimant) > 0.0 {
            &excess
        } else if left > self.pool() * (1.0 - NEAR_TARGET) {
            &lack
        } else {
            return Vec::new();
        };
        let may_be_recalled = |claimant: &Claimant| {
            claimant
                .recalled
                .is_none_or(|at| at + MIN_RECALL_INTERVAL <= now)
        };
        let others = self.claimants.iter();
        let others =
            others.filter(|(writer, claimant)| **writer != from && may_be_recalled(claimant));
        let mut selected: Vec<(f64, Writer)> = others
            .map(|(writer, claimant)| (urgency(claimant), *writer))
            .filter(|(urgency, _)| *urgency > 0.0)
            .collect();
        selected.sort_by(|a, b| b.0.total_cmp(&a.0));
        selected.truncate(MAX_RECALLS);
        for (_, writer) in &selected {
            if let Some(claimant) = self.claimants.get_mut(writer) {
                claimant.recalled = Some(now);
            }
        }
        selected.into_iter().map(|(_, writer)| writer).collect()
    }

    fn grant(
        &mut self,
        from: Writer,
        round: u32,
        hosts: usize,
        grant_ttl: Duration,
        now: Instant,
    ) -> Option<Part> {
        let claimant = *self.claimants.get(&from)?;
        if claimant.round != round {
            return None;
        }
        let pool = self.pool();
        let others = || self.claimants.iter().filter(|(writer, _)| **writer != from);
        let sum =
            |of: fn(&Claimant) -> f64| others().map(|(_, claimant)| of(claimant)).sum::<f64>();
        let target = self.target(&claimant, hosts);
        let left = (pool - sum(|claimant| claimant.outstanding)).max(0.0);
        let held = claimant.outstanding;
        let is_exclusive = self.exclusive_from.is_none_or(|at| at <= now);
        let amount = match is_exclusive {
            true => target.min(left),
            // What other hosts hold is not fully known yet, so nothing is added.
            false if held > 0.0 => held.min(left),
            false => {
                return Some(Part {
                    millis: 0,
                    ttl_s: 0,
                });
            }
        };
        let is_whole = is_exclusive && amount >= target * NEAR_TARGET;
        let ttl = if is_whole {
            grant_ttl
        } else {
            PARTIAL_GRANT_TTL.max(grant_ttl / 5)
        };
        // Rounded down, so that the parts never add up to more than the pool.
        let millis = millis(amount);
        let entry = self.claimants.get_mut(&from)?;
        entry.outstanding = held.max(from_millis(millis));
        entry.until = entry.until.max(now + ttl);
        Some(Part {
            millis,
            ttl_s: u16::try_from(ttl.as_secs()).unwrap_or(u16::MAX),
        })
    }
}
