//! The sizes that the page works out: our target, and today.

/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// How large a deployment is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Entry hosts, each with an online, a batch and a fleet process.
    pub hosts: f64,
    /// Engines.
    pub engines: f64,
    /// Online requests a second at the peak.
    pub requests: f64,
    /// Tokens generated a second for them.
    pub tokens: f64,
    /// Batch items a second, the mean of a day.
    pub items: f64,
    /// Items of the largest job.
    pub largest_job: f64,
    /// Items that wait: half a day's.
    pub pending: f64,
    /// Work shards.
    pub shards: f64,
    /// Customers.
    pub customers: f64,
    /// Changes of configuration a day.
    pub changes: f64,
    /// Changes of members a day: failures, restarts and replacements, each seen as a loss and a return.
    pub member_changes: f64,
}

impl Size {
    /// What the letter asks for.
    pub const TARGET: Self = Self {
        hosts: 370.0,
        engines: 600.0,
        requests: 1_100.0,
        tokens: 470_000.0,
        items: 880e6 / DAY,
        largest_job: 810_000.0,
        pending: 440e6,
        shards: 512.0,
        customers: 13_000.0,
        changes: 680.0,
        member_changes: 2.0 * (15.0 + 81.0),
    };

    /// The larger of today's two deployments, at the burst of its example, with the nightly sweep over seven hours.
    pub const TODAY: Self = Self {
        hosts: 12.0,
        engines: 20.0,
        requests: 120.0,
        tokens: 10_000.0,
        items: 810_000.0 / (7.0 * 3_600.0),
        largest_job: 810_000.0,
        pending: 810_000.0,
        shards: 16.0,
        customers: 100.0,
        changes: 20.0,
        member_changes: 10.0,
    };

    /// Processes of ours.
    pub fn members(&self) -> f64 {
        3.0 * self.hosts
    }
}
