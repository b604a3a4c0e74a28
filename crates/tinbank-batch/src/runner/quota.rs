//! Limits of how many items of a customer are sent at once. Pure.
//!
//! A customer's limit holds over all hosts: each takes its part of it, by its place among the live ones. While the
//! hosts see different ones live, the parts may add up to a little more or less.

use std::collections::HashMap;

use tinbank_base::id;

/// The part of a limit that the process at `place` of `hosts` takes.
pub fn of(limit: u32, place: u32, hosts: u32) -> u32 {
    let hosts = hosts.max(1);
    limit / hosts + u32::from(place < limit % hosts)
}

/// What each customer has sent, and may send.
#[derive(Debug, Default)]
pub struct Quotas(HashMap<id::Customer, Quota>);

#[derive(Clone, Copy, Debug, Default)]
struct Quota {
    limit: Option<u32>,
    sent: u32,
}

impl Quotas {
    /// Sets a customer's limit in this process; the newest one counts.
    pub fn limit(&mut self, customer: &str, limit: Option<u32>) {
        if let Some(quota) = self.0.get_mut(customer) {
            quota.limit = limit;
        } else if limit.is_some() {
            let quota = Quota { limit, sent: 0 };
            self.0.insert(customer.to_owned(), quota);
        }
    }

    /// Whether a further item of the customer may be sent.
    pub fn open(&self, customer: &str) -> bool {
        let Some(quota) = self.0.get(customer) else {
            return true;
        };
        quota.limit.is_none_or(|limit| quota.sent < limit)
    }

    /// An item of the customer was sent.
    pub fn enter(&mut self, customer: &str) {
        self.0.entry(customer.to_owned()).or_default().sent += 1;
    }

    /// An item of the customer is back.
    pub fn leave(&mut self, customer: &str) {
        let Some(quota) = self.0.get_mut(customer) else {
            return;
        };
        quota.sent = quota.sent.saturating_sub(1);
        if quota.sent == 0 && quota.limit.is_none() {
            self.0.remove(customer);
        }
    }
}
