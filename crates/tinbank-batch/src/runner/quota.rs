//! Limits on the concurrent items of a customer. Pure.
//!
//! A customer's limit holds over all hosts: each host takes a share by its place among the live hosts. While hosts
//! disagree on which are live, the shares may add up to slightly more or less than the limit.

use std::collections::HashMap;

use tinbank_base::id;

/// Returns the share of a limit for the process at `place` among `hosts`.
pub fn local_share(limit: u32, place: u32, hosts: u32) -> u32 {
    let hosts = hosts.max(1);
    limit / hosts + u32::from(place < limit % hosts)
}

/// The items in flight and the limit of each customer.
#[derive(Debug, Default)]
pub struct Quotas(HashMap<id::Customer, Quota>);

#[derive(Clone, Copy, Debug, Default)]
struct Quota {
    limit: Option<u32>,
    sent: u32,
}

impl Quotas {
    /// Sets a customer's limit in this process, replacing the earlier one.
    pub fn set_limit(&mut self, customer: &str, limit: Option<u32>) {
        if let Some(quota) = self.0.get_mut(customer) {
            quota.limit = limit;
        } else if limit.is_some() {
            let quota = Quota { limit, sent: 0 };
            self.0.insert(customer.to_owned(), quota);
        }
    }

    /// Returns whether a further item of the customer may be sent.
    pub fn has_capacity(&self, customer: &str) -> bool {
        let Some(quota) = self.0.get(customer) else {
            return true;
        };
        quota.limit.is_none_or(|limit| quota.sent < limit)
    }

    /// Records that an item of the customer was sent.
    pub fn on_sent(&mut self, customer: &str) {
        self.0.entry(customer.to_owned()).or_default().sent += 1;
    }

    /// Records that an item of the customer has ended.
    pub fn on_returned(&mut self, customer: &str) {
        let Some(quota) = self.0.get_mut(customer) else {
            return;
        };
        quota.sent = quota.sent.saturating_sub(1);
        if quota.sent == 0 && quota.limit.is_none() {
            self.0.remove(customer);
        }
    }
}
