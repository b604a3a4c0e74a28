//! The keeper of limits: grants parts of them to the hosts that ask, never more than the pool at a time. Pure.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::{
    frame::demand::{Ask, Claim, Grant, Part, Recall},
    id,
    record::Writer,
};

use super::{
    bucket::Bucket,
    claim::{HOLD, MAX_GRANT_TTL, SHORT_HOLD},
    demand::{FRAME_BYTES, LIMIT_BYTES, PART_BYTES, budget, from_millis, millis},
    ring::Ring,
    share,
};

/// Asks a second that a keeper means to answer; with more, grants hold longer, so that the next asks come later.
const ANSWERS_PER_SECOND: u32 = 8;
/// A grant of this part of what a host should have is no reason to ask again soon.
const NEARLY: f64 = 0.95;

/// Time between two recalls to one host for one limit.
const RECALL_GAP: Duration = Duration::from_millis(500);
/// Most hosts that are recalled at a time for one limit, those that it matters most for first.
const MAX_RECALLS: usize = 4;

/// Grants of the limits that one host keeps.
#[derive(Clone, Debug)]
pub struct Keeper {
    own: Writer,
    ring: Ring,
    limits: BTreeMap<id::Limit, Kept>,
    bytes: Bucket,
}

/// What a keeper says to an ask.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// To the host that asked; `None` if it gets no answer: we keep none of its limits, or have answered too many.
    pub grant: Option<Grant>,
    /// To hosts that have more than their part while this one lacks, or that lack what it has given back.
    pub recalls: Vec<(Writer, Recall)>,
}

#[derive(Clone, Debug)]
struct Kept {
    /// Until then another keeper's grants may hold.
    sole_from: Option<Instant>,
    asking: BTreeMap<Writer, Asking>,
}

#[derive(Clone, Copy, Debug)]
struct Asking {
    round: u32,
    most: u32,
    demand: f64,
    /// The most that the host may have in force: what it said that it has, or what it was granted since.
    outstanding: f64,
    until: Instant,
    recalled: Option<Instant>,
}

impl Keeper {
    /// A keeper that knows no hosts yet.
    pub fn new(own: Writer, now: Instant) -> Self {
        Self {
            own,
            ring: Ring::default(),
            limits: BTreeMap::new(),
            bytes: Bucket::new(budget(1), now),
        }
    }

    /// Takes in which hosts serve.
    pub fn set_hosts(&mut self, hosts: BTreeSet<id::Host>, now: Instant) {
        if !self.ring.set(hosts, now) {
            return;
        }
        let (ring, own) = (&self.ring, self.own.process.host);
        self.limits
            .retain(|limit, _| ring.keeper(*limit) == Some(own));
    }

    /// Takes in an ask.
    pub fn on_ask(&mut self, from: Writer, ask: &Ask, now: Instant) -> Answer {
        let own = self.own.process.host;
        let keeps = |claim: &Claim| self.ring.keeper(claim.limit) == Some(own);
        if !ask.claims.iter().all(keeps) {
            return Answer::default();
        }
        let answers = self.may_answer(from, ask, now);
        let hold = self.hold();
        let hosts = self.ring.hosts().len();
        let parts = ask.claims.iter().map(|claim| {
            let ring = &self.ring;
            let kept = self.limits.entry(claim.limit).or_insert_with(|| Kept {
                sole_from: ring.sole_from(claim.limit, own),
                asking: BTreeMap::new(),
            });
            kept.hear(from, ask.round, claim, now);
            if !answers {
                return None;
            }
            kept.grant(from, ask.round, hosts, hold, now)
        });
        let parts: Vec<Option<Part>> = parts.collect();
        let parts = parts.into_iter().collect::<Option<_>>();
        let round = ask.round;
        Answer {
            grant: parts.map(|parts| Grant { round, parts }),
            recalls: self.recalls(from, ask, now),
        }
    }

    /// Recalls for the limits of an ask that could not be granted as far as they should.
    fn recalls(&mut self, from: Writer, ask: &Ask, now: Instant) -> Vec<(Writer, Recall)> {
        let hosts = self.ring.hosts().len();
        let mut recalls: BTreeMap<Writer, Recall> = BTreeMap::new();
        for claim in &ask.claims {
            let Some(kept) = self.limits.get_mut(&claim.limit) else {
                continue;
            };
            for writer in kept.name_recalls(from, hosts, now) {
                let price = FRAME_BYTES + LIMIT_BYTES;
                let is_own = writer == self.own;
                if !is_own && self.bytes.check(price, budget(hosts)).is_err() {
                    continue;
                }
                if !is_own {
                    self.bytes.take(price);
                }
                let recall = recalls.entry(writer).or_insert_with(|| Recall {
                    limits: SmallVec::new(),
                });
                recall.limits.push(claim.limit);
            }
        }
        recalls.into_iter().collect()
    }

    /// Forgets what no longer counts. Call it about once a second.
    pub fn remove_expired(&mut self, now: Instant) {
        for kept in self.limits.values_mut() {
            kept.asking.retain(|_, asking| now < asking.until);
        }
        self.limits.retain(|_, kept| !kept.asking.is_empty());
    }

    /// Pairs of a limit and a host that are remembered.
    pub fn asking(&self) -> usize {
        self.limits.values().map(|kept| kept.asking.len()).sum()
    }

    fn may_answer(&mut self, from: Writer, ask: &Ask, now: Instant) -> bool {
        if from == self.own {
            return true;
        }
        let price = FRAME_BYTES + PART_BYTES * ask.claims.len() as f64;
        let budget = budget(self.ring.hosts().len());
        self.bytes.fill(budget, now);
        let left = self.bytes.check(price, budget).is_ok();
        if left {
            self.bytes.take(price);
        }
        left
    }

    /// How long grants hold, so that the asks for their renewal stay few.
    fn hold(&self) -> Duration {
        let renewals = u32::try_from(self.asking()).unwrap_or(u32::MAX) / ANSWERS_PER_SECOND;
        Duration::from_secs((2 * u64::from(renewals)).min(MAX_GRANT_TTL.as_secs())).max(HOLD)
    }
}

impl Kept {
    /// Takes in what a host says. Its grants so far hold no longer than until they end or it tells of less.
    fn hear(&mut self, from: Writer, round: u32, claim: &Claim, now: Instant) {
        self.asking.retain(|_, asking| now < asking.until);
        let known = self.asking.get(&from).copied();
        if known.is_some_and(|known| round <= known.round) {
            return;
        }
        // Whoever we don't know was granted what it holds by another keeper.
        let unknown_until = match claim.held_millis {
            0 => now,
            _ => now + MAX_GRANT_TTL,
        };
        let held_until = known.map_or(unknown_until, |known| known.until);
        let asking = Asking {
            round,
            most: claim.most,
            demand: from_millis(claim.demand_millis),
            outstanding: from_millis(claim.held_millis),
            until: held_until.max(now + HOLD),
            recalled: known.and_then(|known| known.recalled),
        };
        self.asking.insert(from, asking);
    }

    fn pool(&self) -> f64 {
        let most = self.asking.values().map(|asking| asking.most).min();
        share::pool(most.unwrap_or(0).into())
    }

    /// What a host should have.
    fn target(&self, asking: &Asking, hosts: usize) -> f64 {
        let total: f64 = self.asking.values().map(|asking| asking.demand).sum();
        let demand = share::Demand {
            own: asking.demand,
            others: (total - asking.demand).max(0.0),
            asking: self.asking.len(),
            hosts,
        };
        share::target(self.pool(), demand)
    }

    /// Hosts that should ask again now that one has asked: those that have too much if it lacks, or those that lack if
    /// something is left for them. Each is named at most once in a while.
    fn name_recalls(&mut self, from: Writer, hosts: usize, now: Instant) -> Vec<Writer> {
        let Some(asking) = self.asking.get(&from) else {
            return Vec::new();
        };
        let lack = |asking: &Asking| self.target(asking, hosts) * NEARLY - asking.outstanding;
        let excess = |asking: &Asking| asking.outstanding * NEARLY - self.target(asking, hosts);
        let outstanding = self.asking.values().map(|asking| asking.outstanding);
        let left = self.pool() - outstanding.sum::<f64>();
        let urgency: &dyn Fn(&Asking) -> f64 = if lack(asking) > 0.0 {
            &excess
        } else if left > self.pool() * (1.0 - NEARLY) {
            &lack
        } else {
            return Vec::new();
        };
        let may_be_named =
            |asking: &Asking| asking.recalled.is_none_or(|at| at + RECALL_GAP <= now);
        let others = self.asking.iter();
        let others = others.filter(|(writer, asking)| **writer != from && may_be_named(asking));
        let mut named: Vec<(f64, Writer)> = others
            .map(|(writer, asking)| (urgency(asking), *writer))
            .filter(|(urgency, _)| *urgency > 0.0)
            .collect();
        named.sort_by(|a, b| b.0.total_cmp(&a.0));
        named.truncate(MAX_RECALLS);
        for (_, writer) in &named {
            if let Some(asking) = self.asking.get_mut(writer) {
                asking.recalled = Some(now);
            }
        }
        named.into_iter().map(|(_, writer)| writer).collect()
    }

    fn grant(
        &mut self,
        from: Writer,
        round: u32,
        hosts: usize,
        hold: Duration,
        now: Instant,
    ) -> Option<Part> {
        let asking = *self.asking.get(&from)?;
        if asking.round != round {
            return None;
        }
        let pool = self.pool();
        let others = || self.asking.iter().filter(|(writer, _)| **writer != from);
        let sum = |of: fn(&Asking) -> f64| others().map(|(_, asking)| of(asking)).sum::<f64>();
        let target = self.target(&asking, hosts);
        let left = (pool - sum(|asking| asking.outstanding)).max(0.0);
        let held = asking.outstanding;
        let is_sole = self.sole_from.is_none_or(|sole| sole <= now);
        let amount = match is_sole {
            true => target.min(left),
            // What others hold is not known yet, so nobody gets more than it has.
            false if held > 0.0 => held.min(left),
            false => {
                return Some(Part {
                    millis: 0,
                    holds_s: 0,
                });
            }
        };
        let is_whole = is_sole && amount >= target * NEARLY;
        let holds = if is_whole {
            hold
        } else {
            SHORT_HOLD.max(hold / 5)
        };
        // Rounded down, so that the parts never add up to more than the pool.
        let millis = millis(amount);
        let entry = self.asking.get_mut(&from)?;
        entry.outstanding = held.max(from_millis(millis));
        entry.until = entry.until.max(now + holds);
        Some(Part {
            millis,
            holds_s: u16::try_from(holds.as_secs()).unwrap_or(u16::MAX),
        })
    }
}
