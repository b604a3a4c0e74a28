//! Share of a limit that one entry host may use.
//!
//! A small part of a limit, the *base share*, is split evenly among the hosts. The limit's keeper grants the rest, the
//! *pool*, to hosts with demand. A host whose keeper does not answer uses an even share of the whole limit. See
//! `docs/design/limits.md` for the bound.

/// Part of a limit that is split evenly among the hosts, in per cent, so that hosts with little demand need no grant.
pub const BASE_SHARE_PERCENT: f64 = 2.0;

/// Returns the share that each host has in addition to its grant.
pub fn base_share(limit: f64, hosts: usize) -> f64 {
    even_share(limit, hosts) * BASE_SHARE_PERCENT / 100.0
}

/// Returns the share of a host whose keeper does not answer.
pub fn even_share(limit: f64, hosts: usize) -> f64 {
    limit / hosts.max(1) as f64
}

/// Returns the part of the limit that the keeper grants to all hosts together.
pub fn pool(limit: f64) -> f64 {
    limit * (100.0 - BASE_SHARE_PERCENT) / 100.0
}

/// Demand for one limit, as known to its keeper.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Demand of the host that gets the grant.
    pub own: f64,
    /// Demand of all other hosts with claims.
    pub others: f64,
    /// Number of hosts with claims, including this one.
    pub claimants: usize,
    /// Number of hosts that share the limit.
    pub hosts: usize,
}

/// Returns the part of the pool that a host should get: its demand and a part of the remainder, as room for growth
/// until its next claim, or a part in proportion to its demand if the pool is too small for all.
pub fn target(pool: f64, demand: Demand) -> f64 {
    let total = demand.own + demand.others;
    if total > pool {
        return pool * demand.own / total;
    }
    // Reserves a part for the next host with demand.
    let sharers = (demand.claimants + 1).min(demand.hosts.max(1));
    demand.own + (pool - total) / sharers as f64
}
