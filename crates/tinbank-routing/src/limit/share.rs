//! How much of a limit one entry host may use. Pure.
//!
//! The shares of all hosts that see the same demand add up to the limit. See `docs/design/limits.md` for the bound when
//! they don't.

/// Part of a limit that is split evenly, in per cent, so that a host with no demand yet can take its first requests.
pub const FLOOR_PERCENT: f64 = 10.0;

/// The demand on one limit, as one host sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Hosts that share the limit, ourselves included.
    pub hosts: usize,
    /// Our own demand, no more of it than our peers have had time to hear of.
    pub own: f64,
    /// Demand of all others, by their last digests; `None` if not all of them were heard of lately.
    pub others: Option<f64>,
}

/// The share of a limit. A host that does not know all of its peers' demand is held to an even part.
pub fn of(limit: f64, view: &View) -> f64 {
    let hosts = view.hosts.max(1) as f64;
    let Some(others) = view.others else {
        return limit / hosts;
    };
    let floor = limit * FLOOR_PERCENT / 100.0;
    let rest = limit - floor;
    let total = view.own + others;
    let part = if total <= rest {
        view.own + (rest - total) / hosts
    } else {
        rest * view.own / total
    };
    floor / hosts + part
}
