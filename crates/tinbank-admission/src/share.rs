//! Divides the credits of one engine among batch processes: by the customers' weights first, then by due times.

use std::{cmp::Reverse, collections::BTreeMap, time::Instant};

use tinbank_base::id;

/// Maximum number of batch processes with credits for one engine, which bounds the number of frames.
const MAX_HOLDERS: usize = 3;

/// A batch process that requests credits for a customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Claimant {
    pub(crate) holder: id::Process,
    pub(crate) customer: id::Customer,
}

/// A credit request and the credits granted for it.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    pub(crate) wanted: u16,
    pub(crate) due: Instant,
    pub(crate) expires: Instant,
    pub(crate) credits: u16,
}

/// The allocations of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allocations {
    allocations: BTreeMap<Claimant, Allocation>,
}

/// Weights of customers. The default is 1.
pub(crate) type Weights = BTreeMap<id::Customer, u32>;

impl Allocations {
    /// Records a credit request. Credits granted before are kept, up to the number wanted now.
    pub(crate) fn apply_request(&mut self, claimant: Claimant, allocation: Allocation) {
        let granted = self
            .allocations
            .get(&claimant)
            .map_or(0, |allocation| allocation.credits);
        let credits = granted.min(allocation.wanted);
        self.allocations.insert(
            claimant,
            Allocation {
                credits,
                ..allocation
            },
        );
    }

    /// Removes expired requests and their credits.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.allocations
            .retain(|_, allocation| allocation.expires > now);
    }

    pub(crate) fn total(&self) -> u16 {
        self.allocations
            .values()
            .map(|allocation| allocation.credits)
            .sum()
    }

    /// Returns the credits of each batch process, 0 for those with a request but no credits.
    pub(crate) fn by_holder(&self) -> BTreeMap<id::Process, u16> {
        let mut holders = BTreeMap::new();
        for (claimant, allocation) in &self.allocations {
            *holders.entry(claimant.holder).or_default() += allocation.credits;
        }
        holders
    }

    /// Removes credits until at most `budget` are granted: from the customer that is most over its share, and of its
    /// allocations from the one due last.
    pub(crate) fn shrink(&mut self, budget: u16, weights: &Weights) {
        while self.total() > budget {
            let Some(claimant) = self.most_over_share(weights) else {
                return;
            };
            self.add(&claimant, -1);
        }
    }

    /// Grants one credit to the customer that is furthest below its share, and of its allocations to the one due first.
    /// Returns the recipient.
    pub(crate) fn grow(&mut self, weights: &Weights) -> Option<Claimant> {
        let claimant = self.most_under_share(weights)?;
        self.add(&claimant, 1);
        Some(claimant)
    }

    /// Takes one credit from the customer most over its share if the one furthest below, given that credit, would still
    /// have less in proportion to its weight.
    pub(crate) fn rebalance(&mut self, weights: &Weights) {
        let (Some(over), Some(under)) = (
            self.most_over_share(weights),
            self.most_under_share(weights),
        ) else {
            return;
        };
        let level = |customer: &str, more: u64| {
            let credits = u64::from(self.customer_credits(customer)) + more;
            // Scaled for integer division by the weight.
            credits * 1_000_000 / u64::from(weight(weights, customer))
        };
        let unfair =
            over.customer != under.customer && level(&over.customer, 0) > level(&under.customer, 1);
        if unfair {
            self.add(&over, -1);
        }
    }

    fn most_over_share(&self, weights: &Weights) -> Option<Claimant> {
        let granted = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.credits > 0);
        granted
            .max_by_key(|(claimant, allocation)| {
                (self.level(&claimant.customer, weights), allocation.due)
            })
            .map(|(claimant, _)| claimant.clone())
    }

    fn most_under_share(&self, weights: &Weights) -> Option<Claimant> {
        let holders = self.by_holder();
        let holding = holders.values().filter(|credits| **credits > 0).count();
        let unmet = self.allocations.iter().filter(|(claimant, allocation)| {
            let holds = holders.get(&claimant.holder).is_some_and(|held| *held > 0);
            allocation.credits < allocation.wanted && (holds || holding < MAX_HOLDERS)
        });
        unmet
            .max_by_key(|(claimant, allocation)| {
                Reverse((self.level(&claimant.customer, weights), allocation.due))
            })
            .map(|(claimant, _)| claimant.clone())
    }

    fn level(&self, customer: &str, weights: &Weights) -> u64 {
        u64::from(self.customer_credits(customer)) * 1_000_000
            / u64::from(weight(weights, customer))
    }

    fn customer_credits(&self, customer: &str) -> u16 {
        self.allocations
            .iter()
            .filter(|(claimant, _)| claimant.customer == customer)
            .map(|(_, allocation)| allocation.credits)
            .sum()
    }

    fn add(&mut self, claimant: &Claimant, credits: i16) {
        if let Some(allocation) = self.allocations.get_mut(claimant) {
            allocation.credits = allocation.credits.saturating_add_signed(credits);
        }
    }
}

fn weight(weights: &Weights, customer: &str) -> u32 {
    weights.get(customer).copied().unwrap_or(1).max(1)
}
