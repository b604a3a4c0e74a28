//! Shares of the customers in the items that this host starts, see `docs/design/fair-shares.md`.

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

/// A job with an item that may run now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contender<'a> {
    pub customer: Option<&'a str>,
    pub job: &'a str,
}

impl<'a> Contender<'a> {
    fn customer(self) -> &'a str {
        self.customer.unwrap_or(NO_CUSTOMER)
    }
}

/// Work of the items that this host has started, by customer and by job.
#[derive(Debug)]
pub(super) struct Shares {
    customers: Counters,
    jobs: Counters,
    competing_customers: HashSet<String>,
    competing_jobs: HashSet<String>,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            customers: Counters::new(AGING_STEP),
            jobs: Counters::new(AGING_STEP),
            competing_customers: HashSet::new(),
            competing_jobs: HashSet::new(),
        }
    }
}

impl Shares {
    /// Sets which jobs compete. Customers and jobs that begin to compete gain nothing from having had no items before.
    pub fn set_contenders(&mut self, contenders: &[Contender<'_>], now: Instant) {
        self.customers.age(now);
        self.jobs.age(now);
        let known = |it: &&Contender<'_>| self.competing_customers.contains(it.customer());
        let levels = contenders.iter().filter(known);
        let floor = levels.map(|it| self.customers.level(it.customer())).min();
        let floor = floor.unwrap_or(self.customers.served());
        for contender in contenders {
            if !self.competing_customers.contains(contender.customer()) {
                self.customers.raise(contender.customer(), floor);
            }
            if !self.competing_jobs.contains(contender.job) {
                let floor = self.least_job_level(*contender, contenders);
                self.jobs.raise(contender.job, floor);
            }
        }
        let customers = contenders.iter().map(|it| it.customer().to_owned());
        self.competing_customers = customers.collect();
        let jobs = contenders.iter().map(|it| it.job.to_owned());
        self.competing_jobs = jobs.collect();
    }

    /// Returns the turn of the next item of a job. Jobs without a customer are ordered by due time alone.
    pub fn turn(&self, contender: Contender<'_>, due: Due) -> Turn {
        let job = contender.customer.map(|_| self.jobs.level(contender.job));
        Turn {
            is_late: due.is_late,
            customer: self.customers.level(contender.customer()),
            job: job.unwrap_or(0),
            due_at: due.at,
        }
    }

    /// Records that an item of a job was started.
    pub fn record_start(
        &mut self,
        contender: Contender<'_>,
        work: u64,
        weight: Weight,
        now: Instant,
    ) {
        self.customers
            .charge(contender.customer(), work, weight, now);
        self.jobs.charge(contender.job, work, weight, now);
    }

    /// Returns the least level of the jobs of a customer that competed before.
    fn least_job_level(&self, of: Contender<'_>, contenders: &[Contender<'_>]) -> Level {
        let same = contenders.iter().filter(|it| it.customer == of.customer);
        let known = same.filter(|it| self.competing_jobs.contains(it.job));
        known.map(|it| self.jobs.level(it.job)).min().unwrap_or(0)
    }
}
