//! Shares the credits of one engine out: by customers' weights first, then by due times.

use std::{cmp::Reverse, collections::BTreeMap, time::Instant};

use tinbank_base::id;

/// Batch processes that may have credits for one engine at a time, which bounds the frames per engine.
const MAX_HOLDERS: usize = 3;

/// Who wishes for credits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Claimant {
    pub(crate) holder: id::Process,
    pub(crate) customer: id::Customer,
}

/// A wish and what was given for it.
#[derive(Clone, Debug)]
pub(crate) struct Lot {
    pub(crate) wanted: u16,
    pub(crate) due: Instant,
    pub(crate) expires: Instant,
    pub(crate) credits: u16,
}

/// The lots of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lots {
    lots: BTreeMap<Claimant, Lot>,
}

/// Weights of customers; one that is not named weighs 1.
pub(crate) type Weights = BTreeMap<id::Customer, u32>;

impl Lots {
    /// Notes a wish. What was given stays, as far as it is still wanted.
    pub(crate) fn wish(&mut self, claimant: Claimant, lot: Lot) {
        let given = self.lots.get(&claimant).map_or(0, |lot| lot.credits);
        let credits = given.min(lot.wanted);
        self.lots.insert(claimant, Lot { credits, ..lot });
    }

    /// Takes back what is given to wishes that have not been repeated.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.lots.retain(|_, lot| lot.expires > now);
    }

    pub(crate) fn total(&self) -> u16 {
        self.lots.values().map(|lot| lot.credits).sum()
    }

    /// Credits by batch process; those that wish and have none are in it with 0.
    pub(crate) fn by_holder(&self) -> BTreeMap<id::Process, u16> {
        let mut holders = BTreeMap::new();
        for (claimant, lot) in &self.lots {
            *holders.entry(claimant.holder).or_default() += lot.credits;
        }
        holders
    }

    /// Takes credits back until no more than `budget` are out: from the customer that is most over its share, and of
    /// its lots from the one due last.
    pub(crate) fn shrink(&mut self, budget: u16, weights: &Weights) {
        while self.total() > budget {
            let Some(claimant) = self.most_over(weights) else {
                return;
            };
            self.add(&claimant, -1);
        }
    }

    /// Gives one credit to the customer that is furthest below its share, and of its lots to the one due first.
    /// Returns who got it.
    pub(crate) fn grow(&mut self, weights: &Weights) -> Option<Claimant> {
        let claimant = self.most_under(weights)?;
        self.add(&claimant, 1);
        Some(claimant)
    }

    /// Moves one credit if a customer would still be no better off than the one that it is taken from.
    pub(crate) fn rebalance(&mut self, weights: &Weights) {
        let (Some(over), Some(under)) = (self.most_over(weights), self.most_under(weights)) else {
            return;
        };
        let level = |customer: &str, more: u64| {
            let credits = u64::from(self.of_customer(customer)) + more;
            // Scaled, so that weights divide without fractions that matter.
            credits * 1_000_000 / u64::from(weight(weights, customer))
        };
        let unfair =
            over.customer != under.customer && level(&over.customer, 0) > level(&under.customer, 1);
        if unfair {
            self.add(&over, -1);
        }
    }

    fn most_over(&self, weights: &Weights) -> Option<Claimant> {
        let given = self.lots.iter().filter(|(_, lot)| lot.credits > 0);
        given
            .max_by_key(|(claimant, lot)| (self.level(&claimant.customer, weights), lot.due))
            .map(|(claimant, _)| claimant.clone())
    }

    fn most_under(&self, weights: &Weights) -> Option<Claimant> {
        let holders = self.by_holder();
        let holding = holders.values().filter(|credits| **credits > 0).count();
        let unmet = self.lots.iter().filter(|(claimant, lot)| {
            let holds = holders.get(&claimant.holder).is_some_and(|held| *held > 0);
            lot.credits < lot.wanted && (holds || holding < MAX_HOLDERS)
        });
        unmet
            .max_by_key(|(claimant, lot)| {
                Reverse((self.level(&claimant.customer, weights), lot.due))
            })
            .map(|(claimant, _)| claimant.clone())
    }

    fn level(&self, customer: &str, weights: &Weights) -> u64 {
        u64::from(self.of_customer(customer)) * 1_000_000 / u64::from(weight(weights, customer))
    }

    fn of_customer(&self, customer: &str) -> u16 {
        self.lots
            .iter()
            .filter(|(claimant, _)| claimant.customer == customer)
            .map(|(_, lot)| lot.credits)
            .sum()
    }

    fn add(&mut self, claimant: &Claimant, credits: i16) {
        if let Some(lot) = self.lots.get_mut(claimant) {
            lot.credits = lot.credits.saturating_add_signed(credits);
        }
    }
}

fn weight(weights: &Weights, customer: &str) -> u32 {
    weights.get(customer).copied().unwrap_or(1).max(1)
}
