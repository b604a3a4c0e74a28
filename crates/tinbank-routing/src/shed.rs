//! Sheds online load early when the upstreams of a service are overloaded. Pure.
//!
//! The customer over its share goes first. Batch is not asked here: it has given way long before. See
//! `docs/design/limits.md`.

use std::collections::BTreeMap;

use tinbank_base::id;

/// Load in per cent of the capacity above which customers are held to their shares.
pub const SHARED_PERCENT: u64 = 150;
/// Load in per cent of the capacity above which nobody is let in: what waits would be too late.
pub const FULL_PERCENT: u64 = 300;

/// How busy the upstreams of a service are, as far as this process knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Requests that they run at once; 0 when not known.
    pub capacity: u64,
    /// Requests that run or wait there.
    pub load: u64,
}

/// The customer's part in what this process has in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerLoad {
    /// The customer's requests.
    pub own: u64,
    /// The customer's weight.
    pub weight: u64,
    /// Requests of all customers.
    pub total: u64,
    /// Sum of the weights of the customers that have any, this one included.
    pub weights: u64,
}

/// Whether another request is let in.
pub fn admits(pressure: Pressure, part: CustomerLoad) -> bool {
    let load = pressure.load.saturating_mul(100);
    let reaches = |percent: u64| load >= pressure.capacity.saturating_mul(percent);
    if pressure.capacity == 0 || !reaches(SHARED_PERCENT) {
        return true;
    }
    let over_share =
        (part.own + 1).saturating_mul(part.weights) > (part.total + 1).saturating_mul(part.weight);
    !reaches(FULL_PERCENT) && !over_share
}

/// Which customers have requests in flight at this process, and their weights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActiveRequests {
    customers: BTreeMap<id::Customer, Weighted>,
    total: u64,
    weights: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Weighted {
    running: u64,
    weight: u64,
}

impl ActiveRequests {
    /// The part of a customer, as if it had one at least.
    pub fn customer_load(&self, customer: &str, weight: u32) -> CustomerLoad {
        let weight = u64::from(weight.max(1));
        let known = self.customers.get(customer).copied().unwrap_or_default();
        CustomerLoad {
            own: known.running,
            weight,
            total: self.total,
            weights: self.weights - known.weight + weight,
        }
    }

    /// A request of a customer begins.
    pub fn begin(&mut self, customer: &str, weight: u32) {
        let weight = u64::from(weight.max(1));
        let known = self.customers.entry(customer.to_owned()).or_default();
        self.weights = self.weights - known.weight + weight;
        known.weight = weight;
        known.running += 1;
        self.total += 1;
    }

    /// A request of a customer has ended.
    pub fn end(&mut self, customer: &str) {
        let Some(known) = self.customers.get_mut(customer) else {
            return;
        };
        known.running -= 1;
        self.total -= 1;
        if known.running == 0 {
            self.weights -= known.weight;
            self.customers.remove(customer);
        }
    }
}
