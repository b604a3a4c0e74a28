//! Shares of the customers in the items that this host starts, see `docs/design/fair-shares.md`.

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use tinbank_allocator::order::virtual_counter::{Counters, Level, Weight};
use tinbank_jobs::schedule::{Due, Turn};

/// Step in which the counters age. Levels halve in about 10 s, the order of the time in which the items of a job are due.
const AGING_STEP: Duration = Duration::from_secs(2);
/// Stands for all jobs without a customer.
const NO_CUSTOMER: &str = "";

/// A customer with an item that may run now; `None` stands for all jobs without a customer.
pub(super) type Contender<'a> = Option<&'a str>;

/// Whether the items of this host can all be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Supply {
    Enough,
    Scarce,
}

/// Work of the items that this host has started, by customer.
#[derive(Debug)]
pub(super) struct Shares {
    customers: Counters,
    competing: HashSet<String>,
    /// Work up to which a customer is within its share.
    share: Level,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            customers: Counters::new(AGING_STEP),
            competing: HashSet::new(),
            share: 0,
        }
    }
}

impl Shares {
    /// Sets which customers compete. Those that begin to gain nothing from having had no items before.
    pub fn set_contenders(&mut self, contenders: &[Contender<'_>], supply: Supply, now: Instant) {
        self.customers.age(now);
        let names: HashSet<&str> = contenders.iter().copied().map(name).collect();
        let known = names.iter().filter(|it| self.competing.contains(**it));
        let floor = known.map(|it| self.customers.level(it)).min();
        let floor = floor.unwrap_or(self.customers.served());
        for customer in &names {
            if !self.competing.contains(*customer) {
                self.customers.raise(customer, floor);
            }
        }
        let total: Level = names.iter().map(|it| self.customers.level(it)).sum();
        self.share = match supply {
            Supply::Enough => Level::MAX,
            Supply::Scarce => total / names.len().max(1) as Level,
        };
        self.competing = names.into_iter().map(str::to_owned).collect();
    }

    /// Returns the turn of an item of a customer.
    pub fn turn(&self, contender: Contender<'_>, due: Due) -> Turn {
        let level = self.customers.level(name(contender));
        Turn {
            is_late: due.is_late,
            excess: if level > self.share { level } else { 0 },
            due_at: due.at,
        }
    }

    /// Records that an item of a customer was started.
    pub fn record_start(
        &mut self,
        contender: Contender<'_>,
        work: u64,
        weight: Weight,
        now: Instant,
    ) {
        self.customers.charge(name(contender), work, weight, now);
    }
}

fn name(contender: Contender<'_>) -> &str {
    contender.unwrap_or(NO_CUSTOMER)
}
