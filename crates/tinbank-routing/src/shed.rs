//! Load shedding: rejects online requests early when the upstreams of a service are overloaded.
//!
//! Customers over their share are rejected first. Batch requests do not pass here; admission control has withdrawn them
//! at much lower load. See `docs/design/limits.md`.

use std::collections::BTreeMap;

use tinbank_base::id;

/// Load in per cent of the capacity from which customers over their share are rejected.
pub const FAIR_SHARE_PERCENT: u64 = 150;
/// Load in per cent of the capacity from which all requests are rejected, since queued ones would miss their deadline.
pub const FULL_PERCENT: u64 = 300;

/// Load of the upstreams of a service, as known to this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Number of requests that they run concurrently; 0 if unknown.
    pub capacity: u64,
    /// Number of requests running or queued there.
    pub load: u64,
}

/// A customer's part of the in-flight requests of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerLoad {
    /// Number of the customer's requests.
    pub own: u64,
    pub weight: u64,
    /// Number of requests of all customers.
    pub total: u64,
    /// Sum of the weights of the customers with requests in flight, including this one.
    pub weights: u64,
}

/// Returns whether another request of the customer is admitted.
pub fn admits(pressure: Pressure, customer_load: CustomerLoad) -> bool {
    let load = pressure.load.saturating_mul(100);
    let reaches = |percent: u64| load >= pressure.capacity.saturating_mul(percent);
    if pressure.capacity == 0 || !reaches(FAIR_SHARE_PERCENT) {
        return true;
    }
    let over_share = (customer_load.own + 1).saturating_mul(customer_load.weights)
        > (customer_load.total + 1).saturating_mul(customer_load.weight);
    !reaches(FULL_PERCENT) && !over_share
}

/// In-flight requests of this process by customer, with the customers' weights.
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
    /// Returns the load of a customer. Its weight is counted even if it has no request in flight.
    pub fn customer_load(&self, customer: &str, weight: u32) -> CustomerLoad {
        let weight = u64::from(weight.max(1));
        let entry = self.customers.get(customer).copied().unwrap_or_default();
        CustomerLoad {
            own: entry.running,
            weight,
            total: self.total,
            weights: self.weights - entry.weight + weight,
        }
    }

    /// Counts a request of a customer that begins.
    pub fn begin(&mut self, customer: &str, weight: u32) {
        let weight = u64::from(weight.max(1));
        let entry = self.customers.entry(customer.to_owned()).or_default();
        self.weights = self.weights - entry.weight + weight;
        entry.weight = weight;
        entry.running += 1;
        self.total += 1;
    }

    /// Counts a request of a customer that has ended.
    pub fn end(&mut self, customer: &str) {
        let Some(entry) = self.customers.get_mut(customer) else {
            return;
        };
        entry.running -= 1;
        self.total -= 1;
        if entry.running == 0 {
            self.weights -= entry.weight;
            self.customers.remove(customer);
        }
    }
}
