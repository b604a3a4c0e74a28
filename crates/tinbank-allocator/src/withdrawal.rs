//! Which overloaded hosts of a failure domain may withdraw from the load balancer. Decided by its allocator, so that they
//! never withdraw all at once.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long a withdrawal counts that its host no longer reports: longer than [`PERMISSION_LIFETIME`], so that a host returns
/// before another one may take its place.
const RECORD_LIFETIME: Duration = Duration::from_millis(3_500);
/// How long a host may stay withdrawn after the last permission: two heartbeats and a half.
pub const PERMISSION_LIFETIME: Duration = Duration::from_millis(2_500);
/// How long an allocator permits nothing after it had no reports, in which hosts that withdrew by permission of another
/// allocator report themselves: longer than a heartbeat.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// One in this many hosts of a failure domain may withdraw. The load balancer uses all hosts again once half of them have
/// withdrawn, and the others have to take over their load.
const ONE_IN: usize = 5;
/// Minimum number of hosts in a failure domain in which one may withdraw.
const MIN_HOSTS: usize = 3;

/// Withdrawals of the hosts of a failure domain.
#[derive(Debug, Default)]
pub struct Withdrawals {
    /// Hosts that have withdrawn or may do so, and until when they count.
    counted: HashMap<SocketAddr, Instant>,
    /// When the last host has reported that it is overloaded.
    last_report: Option<Instant>,
    learning_until: Option<Instant>,
}

impl Withdrawals {
    /// Records that a host is overloaded, and permits it to withdraw if fewer than a fifth of `hosts` have. A host that has
    /// withdrawn already always counts.
    pub fn record(&mut self, host: SocketAddr, has_withdrawn: bool, hosts: usize, now: Instant) {
        let is_idle = self
            .last_report
            .is_none_or(|at| now >= at + RECORD_LIFETIME);
        if is_idle {
            self.learning_until = Some(now + LEARNING_TIME);
        }
        self.last_report = Some(now);
        self.counted.retain(|_, until| now < *until);
        if has_withdrawn || self.counted.contains_key(&host) || self.has_place(hosts, now) {
            self.counted.insert(host, now + RECORD_LIFETIME);
        }
    }

    /// Returns whether a host may withdraw, or stay withdrawn.
    pub fn may_withdraw(&self, host: SocketAddr, now: Instant) -> bool {
        self.counted.get(&host).is_some_and(|until| now < *until)
    }

    fn has_place(&self, hosts: usize, now: Instant) -> bool {
        let is_learning = self.learning_until.is_some_and(|until| now < until);
        !is_learning && hosts >= MIN_HOSTS && self.counted.len() * ONE_IN < hosts
    }
}
