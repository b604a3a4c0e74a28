//! Holds a customer's jobs to its limit of pending items. Soft over hosts: see `docs/design/limits.md`.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tinbank_base::{id, outcome::Failure};

use super::failure::limit_reached;

/// Items of jobs that are being committed here, by customer: no shard counts them yet.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    committing: Mutex<HashMap<id::Customer, u64>>,
}

/// How much a customer may still have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Quota {
    /// Its limit.
    pub(super) limit: u32,
    /// What it has.
    pub(super) pending: u64,
}

impl Quota {
    /// Checks that so many items more are within the limit.
    pub(super) fn check(self, items: id::Item) -> Result<(), Failure> {
        if self.pending + u64::from(items) <= u64::from(self.limit) {
            return Ok(());
        }
        Err(limit_reached(self.limit, self.pending))
    }
}

impl Quotas {
    /// The quota of a customer with so many items in shards.
    pub(super) fn of(&self, customer: &str, limit: u32, pending: u64) -> Quota {
        let committing = self.lock().get(customer).copied().unwrap_or_default();
        Quota {
            limit,
            pending: pending + committing,
        }
    }

    /// Counts a job's items until the reservation is dropped, if they are within the limit.
    pub(super) fn reserve(
        &self,
        customer: &str,
        limit: u32,
        pending: u64,
        items: id::Item,
    ) -> Result<Reservation<'_>, Failure> {
        let mut committing = self.lock();
        let here = committing.entry(customer.to_owned()).or_default();
        let pending = pending + *here;
        Quota { limit, pending }.check(items)?;
        *here += u64::from(items);
        Ok(Reservation {
            quotas: self,
            customer: customer.to_owned(),
            items: u64::from(items),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Customer, u64>> {
        self.committing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Items that are being committed.
#[derive(Debug)]
pub(super) struct Reservation<'a> {
    quotas: &'a Quotas,
    customer: id::Customer,
    items: u64,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let mut committing = self.quotas.lock();
        if let Some(items) = committing.get_mut(&self.customer) {
            *items -= self.items;
            if *items == 0 {
                committing.remove(&self.customer);
            }
        }
    }
}
