//! How much of a limit one entry host may use. Pure.
//!
//! A small part of a limit is split evenly over the hosts; the rest, the *pool*, is granted by the limit's keeper to the
//! hosts with demand. A host without a grant has an even part of the whole. See `docs/design/limits.md` for the bound.

/// Part of a limit that is split evenly, in per cent, so that a host with hardly any demand need not ask.
pub const FLOOR_PERCENT: f64 = 2.0;

/// What each host has besides its grant.
pub fn floor(limit: f64, hosts: usize) -> f64 {
    even(limit, hosts) * FLOOR_PERCENT / 100.0
}

/// What a host without a grant has.
pub fn even(limit: f64, hosts: usize) -> f64 {
    limit / hosts.max(1) as f64
}

/// What the keeper grants, of all hosts together.
pub fn pool(limit: f64) -> f64 {
    limit * (100.0 - FLOOR_PERCENT) / 100.0
}

/// Demand on one limit, as its keeper knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Of the host that is granted something.
    pub own: f64,
    /// Of all others that have asked.
    pub others: f64,
    /// How many have asked, this one included.
    pub asking: usize,
    /// How many hosts there are.
    pub hosts: usize,
}

/// The part of the pool that a host should have: its demand and a part of what is left, so that it can grow until it
/// asks again; in proportion to its demand if the pool is too small for all.
pub fn target(pool: f64, demand: Demand) -> f64 {
    let total = demand.own + demand.others;
    if total > pool {
        return pool * demand.own / total;
    }
    // One more than ask now, so that something is left for the next one to come.
    let heads = (demand.asking + 1).min(demand.hosts.max(1));
    demand.own + (pool - total) / heads as f64
}
