//! Enforces a customer's limit of pending items. The limit is approximate across hosts: see `docs/design/limits.md`.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tinbank_base::{id, outcome::Failure};

use super::failure::limit_reached;

/// Counts, by customer, items of jobs that this process is committing and no shard counts yet.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    committing: Mutex<HashMap<id::Customer, u64>>,
}

/// A customer's limit of pending items and its current use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Quota {
    /// Maximum number of pending items.
    pub(super) limit: u32,
    /// Number of pending items, including those being committed by this process.
    pub(super) pending: u64,
}

impl Quota {
    /// Checks that `items` further items stay within the limit.
    pub(super) fn check(self, items: id::Item) -> Result<(), Failure> {
        if self.pending + u64::from(items) <= u64::from(self.limit) {
            return Ok(());
        }
        Err(limit_reached(self.limit, self.pending))
    }
}

impl Quotas {
    /// Returns the quota of a customer that has `pending` items in shards.
    pub(super) fn quota_for(&self, customer: &str, limit: u32, pending: u64) -> Quota {
        let committing = self.lock().get(customer).copied().unwrap_or_default();
        Quota {
            limit,
            pending: pending + committing,
        }
    }

    /// Reserves a job's items until the reservation is dropped, if they are within the limit.
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

/// Items counted as pending while their job is being committed.
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
