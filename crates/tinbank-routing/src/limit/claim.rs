//! One host's claim to a part of one limit: when to ask the keeper, and the share that its grant allows.

use std::time::{Duration, Instant};

use tinbank_base::frame::demand::Part;

use super::{demand::from_millis, share};

/// Shortest interval between two claim requests for one limit.
pub const MIN_CLAIM_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between claim requests that get no answer. The interval doubles from [`MIN_CLAIM_INTERVAL`].
pub const MAX_CLAIM_INTERVAL: Duration = Duration::from_secs(32);
/// Validity of a grant of less than the target.
pub const PARTIAL_GRANT_TTL: Duration = Duration::from_secs(2);
/// Usual validity of a grant.
pub const GRANT_TTL: Duration = Duration::from_secs(10);
/// Longest validity of a grant, from a keeper with many claimants.
pub const MAX_GRANT_TTL: Duration = Duration::from_secs(30);
/// Demand up to this value is not claimed.
pub const MIN_DEMAND: f64 = 0.05;
/// A change of demand by more than this fraction of the limit, and [`CHANGE_OF_DEMAND`], is claimed before the renewal
/// is due.
const CHANGE_OF_LIMIT: f64 = 0.05;
/// Smallest change that is claimed early, as a fraction of the demand last claimed.
const CHANGE_OF_DEMAND: f64 = 0.25;

/// Time that a host with new demand waits for the keeper's first answer before it uses an even share.
pub const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of unanswered claim requests from which the host uses an even share. Also set when the keeper can't grant
/// anything yet.
const MAX_UNANSWERED: u32 = 2;

/// One host's claim to a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claim {
    last_claim: Option<LastClaim>,
    grant: Option<Grant>,
    /// Number of claim requests since the last answer.
    unanswered: u32,
    /// Start of the current significant demand.
    demand_since: Option<Instant>,
    /// Whether the keeper waits for the next claim request.
    is_recalled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct LastClaim {
    round: u32,
    at: Instant,
    demand: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    amount: f64,
    until: Instant,
    renew_at: Instant,
}

impl Claim {
    /// Returns the share of the limit that this host may use.
    pub fn share(&self, limit: f64, hosts: usize, now: Instant) -> f64 {
        if hosts <= 1 {
            return limit;
        }
        match self.in_force(now) {
            Some(grant) => share::base_share(limit, hosts) + grant.amount,
            None if self.awaits_answer(now) => share::base_share(limit, hosts),
            None => share::even_share(limit, hosts),
        }
    }

    /// Returns whether there is no grant and the keeper may still answer in time, or no answer is needed.
    pub fn awaits_answer(&self, now: Instant) -> bool {
        let is_late = |since| since + FIRST_ANSWER_TIMEOUT <= now;
        self.in_force(now).is_none()
            && self.unanswered < MAX_UNANSWERED
            && !self.demand_since.is_some_and(is_late)
    }

    /// Updates the demand. Returns whether it is new, so that the keeper should be asked at once.
    pub fn update_demand(&mut self, demand: f64, limit: f64, hosts: usize, now: Instant) -> bool {
        if !is_significant(demand, limit, hosts) {
            self.demand_since = None;
            return false;
        }
        let is_new = self.demand_since.is_none();
        self.demand_since.get_or_insert(now);
        is_new && self.in_force(now).is_none()
    }

    /// Returns the amount of the valid grant.
    pub fn granted(&self, now: Instant) -> f64 {
        self.in_force(now).map_or(0.0, |grant| grant.amount)
    }

    /// Returns whether the keeper should be asked now.
    pub fn is_due(&self, demand: f64, limit: f64, hosts: usize, now: Instant) -> bool {
        let significant = is_significant(demand, limit, hosts);
        let Some(last_claim) = self.last_claim else {
            return significant;
        };
        let grant = self.in_force(now);
        if self.is_recalled && grant.is_some() {
            return true;
        }
        if now < last_claim.at + self.interval() {
            return false;
        }
        let Some(grant) = grant else {
            return significant;
        };
        let change = (demand - last_claim.demand).abs();
        let is_large =
            change > CHANGE_OF_LIMIT * limit && change > CHANGE_OF_DEMAND * last_claim.demand;
        is_large || (significant && (self.unanswered > 0 || now >= grant.renew_at))
    }

    /// Records a claim request that is being sent. Gives up the part of the grant that far exceeds the demand, for
    /// other hosts.
    pub fn record_sent(&mut self, round: u32, demand: f64, limit: f64, now: Instant) {
        let needed = demand * (1.0 + 2.0 * CHANGE_OF_DEMAND) + CHANGE_OF_LIMIT * limit;
        if let Some(grant) = &mut self.grant {
            grant.amount = grant.amount.min(needed);
        }
        self.last_claim = Some(LastClaim {
            round,
            at: now,
            demand,
        });
        self.unanswered = self.unanswered.saturating_add(1);
        self.is_recalled = false;
    }

    /// Applies a recall: the keeper needs a new claim request to reassign parts of the limit. Returns whether there is
    /// a grant to reduce.
    pub fn on_recall(&mut self, now: Instant) -> bool {
        self.is_recalled = self.in_force(now).is_some();
        self.is_recalled
    }

    /// Applies an answer. An answer to an earlier claim request than the last is dropped, since the keeper assumes that
    /// a later claim request supersedes it. Returns whether the keeper should be asked again at once.
    pub fn on_answer(&mut self, round: u32, part: Part, now: Instant) -> bool {
        let Some(last_claim) = self
            .last_claim
            .filter(|last_claim| last_claim.round == round)
        else {
            return false;
        };
        if part.ttl_s == 0 {
            self.unanswered = MAX_UNANSWERED;
            return false;
        }
        self.unanswered = 0;
        let ttl = Duration::from_secs(part.ttl_s.into()).min(MAX_GRANT_TTL);
        let amount = from_millis(part.millis);
        // The keeper can reassign the difference only after the next claim request confirms the lower grant.
        let is_lower = |grant: Grant| amount < grant.amount * (1.0 - CHANGE_OF_LIMIT);
        self.is_recalled = self.in_force(now).is_some_and(is_lower);
        self.grant = Some(Grant {
            amount,
            until: last_claim.at + ttl,
            renew_at: last_claim.at + ttl / 2,
        });
        self.is_recalled
    }

    /// Returns whether the claim can be discarded.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.in_force(now).is_none()
            && self
                .last_claim
                .is_none_or(|last_claim| last_claim.at + GRANT_TTL <= now)
    }

    fn in_force(&self, now: Instant) -> Option<Grant> {
        self.grant.filter(|grant| now < grant.until)
    }

    /// Returns the interval to the next claim request, with exponential backoff while the keeper does not answer.
    fn interval(&self) -> Duration {
        let doublings = self.unanswered.saturating_sub(1).min(5);
        (MIN_CLAIM_INTERVAL * (1 << doublings)).min(MAX_CLAIM_INTERVAL)
    }
}

fn is_significant(demand: f64, limit: f64, hosts: usize) -> bool {
    demand > MIN_DEMAND && demand > share::base_share(limit, hosts)
}
