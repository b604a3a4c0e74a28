//! One host's claim to a part of one limit: when to ask the keeper, and what its grant allows. Pure.

use std::time::{Duration, Instant};

use tinbank_base::frame::demand::Part;

use super::{demand::from_millis, share};

/// Shortest time between two asks for one limit.
pub const ASK_GAP: Duration = Duration::from_secs(1);
/// Longest time between two asks of which none is answered; it doubles from [`ASK_GAP`] on.
pub const LONGEST_GAP: Duration = Duration::from_secs(32);
/// How long a grant holds that gives less than was asked for.
pub const SHORT_HOLD: Duration = Duration::from_secs(2);
/// How long other grants hold.
pub const HOLD: Duration = Duration::from_secs(10);
/// How long a grant holds at most, when the keeper has many to answer.
pub const MAX_GRANT_TTL: Duration = Duration::from_secs(30);
/// Demand below this is nothing to ask for.
pub const NEGLIGIBLE: f64 = 0.05;
/// A change of demand by this part of the limit is told before the grant has to be renewed.
const CHANGE_OF_LIMIT: f64 = 0.05;
/// It has to be this part of the demand told, too.
const CHANGE_OF_DEMAND: f64 = 0.25;

/// How long a host with new demand waits for the keeper's first answer before it takes an even part instead.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// Counts as so many asks without an answer when the keeper says that it can't grant anything yet.
const WAITS: u32 = 2;

/// One host's claim to a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claim {
    told: Option<Told>,
    grant: Option<Grant>,
    /// Asks since the last answer.
    unanswered: u32,
    /// Since when there has been demand that is worth an ask.
    wanted_since: Option<Instant>,
    /// The keeper waits for the next ask.
    is_recalled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Told {
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
    /// What of the limit this host may use.
    pub fn share(&self, limit: f64, hosts: usize, now: Instant) -> f64 {
        if hosts <= 1 {
            return limit;
        }
        match self.in_force(now) {
            Some(grant) => share::floor(limit, hosts) + grant.amount,
            None if self.waits(now) => share::floor(limit, hosts),
            None => share::even(limit, hosts),
        }
    }

    /// Whether the keeper's answer may still come, or is not needed.
    pub fn waits(&self, now: Instant) -> bool {
        let is_late = |since| since + PATIENCE <= now;
        self.in_force(now).is_none()
            && self.unanswered < WAITS
            && !self.wanted_since.is_some_and(is_late)
    }

    /// Takes in the demand. Returns whether it is new, so that the keeper should be asked at once.
    pub fn want(&mut self, demand: f64, limit: f64, hosts: usize, now: Instant) -> bool {
        if !is_wanted(demand, limit, hosts) {
            self.wanted_since = None;
            return false;
        }
        let is_new = self.wanted_since.is_none();
        self.wanted_since.get_or_insert(now);
        is_new && self.in_force(now).is_none()
    }

    /// The grant that is in force.
    pub fn held(&self, now: Instant) -> f64 {
        self.in_force(now).map_or(0.0, |grant| grant.amount)
    }

    /// Whether the keeper should be asked now.
    pub fn is_due(&self, demand: f64, limit: f64, hosts: usize, now: Instant) -> bool {
        let wanted = is_wanted(demand, limit, hosts);
        let Some(told) = self.told else {
            return wanted;
        };
        let grant = self.in_force(now);
        if self.is_recalled && grant.is_some() {
            return true;
        }
        if now < told.at + self.gap() {
            return false;
        }
        let Some(grant) = grant else {
            return wanted;
        };
        let change = (demand - told.demand).abs();
        let is_large = change > CHANGE_OF_LIMIT * limit && change > CHANGE_OF_DEMAND * told.demand;
        is_large || (wanted && (self.unanswered > 0 || now >= grant.renew_at))
    }

    /// The keeper is asked now. What of the grant is far above the demand is given up at once, so that others can have it.
    pub fn ask(&mut self, round: u32, demand: f64, limit: f64, now: Instant) {
        let needed = demand * (1.0 + 2.0 * CHANGE_OF_DEMAND) + CHANGE_OF_LIMIT * limit;
        if let Some(grant) = &mut self.grant {
            grant.amount = grant.amount.min(needed);
        }
        self.told = Some(Told {
            round,
            at: now,
            demand,
        });
        self.unanswered = self.unanswered.saturating_add(1);
        self.is_recalled = false;
    }

    /// The keeper wants to be asked again, since others lack what we may have too much of. Returns whether there is
    /// anything to give back.
    pub fn recall(&mut self, now: Instant) -> bool {
        self.is_recalled = self.in_force(now).is_some();
        self.is_recalled
    }

    /// Takes in an answer. One to an earlier ask than the last counts for nothing, since the keeper relies on it that a
    /// host which has asked again uses no earlier answer. Returns whether the keeper should be asked again at once.
    pub fn answer(&mut self, round: u32, part: Part, now: Instant) -> bool {
        let Some(told) = self.told.filter(|told| told.round == round) else {
            return false;
        };
        if part.holds_s == 0 {
            self.unanswered = WAITS;
            return false;
        }
        self.unanswered = 0;
        let holds = Duration::from_secs(part.holds_s.into()).min(MAX_GRANT_TTL);
        let amount = from_millis(part.millis);
        // The keeper can give to others what was taken from us only once we have said that we know.
        let is_lower = |grant: Grant| amount < grant.amount * (1.0 - CHANGE_OF_LIMIT);
        self.is_recalled = self.in_force(now).is_some_and(is_lower);
        self.grant = Some(Grant {
            amount,
            until: told.at + holds,
            renew_at: told.at + holds / 2,
        });
        self.is_recalled
    }

    /// Whether there is nothing to remember.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.in_force(now).is_none() && self.told.is_none_or(|told| told.at + HOLD <= now)
    }

    fn in_force(&self, now: Instant) -> Option<Grant> {
        self.grant.filter(|grant| now < grant.until)
    }

    /// Asks that get no answer become rarer: the keeper is lost, or has too many to answer.
    fn gap(&self) -> Duration {
        let doublings = self.unanswered.saturating_sub(1).min(5);
        (ASK_GAP * (1 << doublings)).min(LONGEST_GAP)
    }
}

fn is_wanted(demand: f64, limit: f64, hosts: usize) -> bool {
    demand > NEGLIGIBLE && demand > share::floor(limit, hosts)
}
