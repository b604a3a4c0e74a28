//! Sheds online load early when the upstreams of a service are overloaded. Pure.
//!
//! The customer over its share goes first. Batch is not asked here: it has given way long before. See
//! `docs/design/limits.md`.

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
pub struct Part {
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
pub fn admits(pressure: Pressure, part: Part) -> bool {
    let load = pressure.load.saturating_mul(100);
    let reaches = |percent: u64| load >= pressure.capacity.saturating_mul(percent);
    if pressure.capacity == 0 || !reaches(SHARED_PERCENT) {
        return true;
    }
    let over_share =
        (part.own + 1).saturating_mul(part.weights) > (part.total + 1).saturating_mul(part.weight);
    !reaches(FULL_PERCENT) && !over_share
}
