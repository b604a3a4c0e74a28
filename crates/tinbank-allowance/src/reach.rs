//! Which share of a limit a counter may admit, by the number of hosts that it can reach.
//!
//! A host that is partitioned from the other hosts, but not from callers and upstreams, counts alone. If each such host
//! admitted the whole limit, a customer would get it several times. So each counter admits a share that corresponds to
//! the share of hosts that it reaches; the shares of counters that don't reach each other add up to the whole.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::counts::Counts;

/// Time without a datagram after which a host counts as unreachable: a little longer than a heartbeat interval. Until
/// then both sides of a partition admit the host's share. For a limit of 94 requests a second with 16 of 61 hosts cut
/// off, each second of that admits 25 of the 76 requests by which the limit may be exceeded.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_300);
/// Time without a datagram after which a host counts as lost, if most others are reachable. Lost hosts stay listed.
const LOST_AFTER: Duration = Duration::from_secs(30);
/// Time after the first list of hosts during which all hosts count as reachable: until they have exchanged heartbeats
/// after starting together. A smaller share would refuse customers that are well within their limits. After a power
/// loss all hosts start within half a second and exchange heartbeats within another, while callers retry at once.
const STARTUP_GRACE: Duration = Duration::from_millis(1_500);
/// How long another counter's report is valid: several times the interval between reports.
const REPORT_VALIDITY: Duration = Duration::from_millis(150);
/// How long the share of a counter that stopped reporting is reserved: until its hosts count as unreachable.
const REPORT_RETENTION: Duration = Duration::from_millis(1_600);
/// How often the share is recomputed. Every request reads it, and computing it iterates over all hosts.
const SHARE_REFRESH: Duration = Duration::from_millis(50);

/// The hosts and the other counters that a counter can reach.
#[derive(Debug, Default)]
pub struct Reachability {
    last_seen: HashMap<SocketAddr, Instant>,
    /// Number of listed hosts.
    host_count: usize,
    /// Until then, all hosts count as reachable.
    grace_until: Option<Instant>,
    /// The last report of each other counter.
    reports: HashMap<SocketAddr, Report>,
    share: f64,
    refresh_at: Option<Instant>,
}

/// Reachability as reported by another counter.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Hosts that it can reach.
    reachable: usize,
    /// Hosts that it can reach, or could a while ago.
    known: usize,
    at: Instant,
}

impl Report {
    fn is_fresh(&self, now: Instant) -> bool {
        now < self.at + REPORT_VALIDITY
    }
}

impl Reachability {
    /// Sets how many hosts are listed.
    pub fn set_host_count(&mut self, hosts: usize, now: Instant) {
        self.host_count = hosts;
        self.grace_until.get_or_insert(now + STARTUP_GRACE);
    }

    /// Returns whether the process has just started.
    pub fn is_starting(&self, now: Instant) -> bool {
        self.grace_until.is_none_or(|at| now < at)
    }

    /// Records a datagram of a host.
    pub fn record_host(&mut self, host: SocketAddr, now: Instant) {
        self.last_seen.insert(host, now);
    }

    /// Records the reachability that another counter reports. Counters that reach each other share one count.
    pub fn record_counts(&mut self, from: SocketAddr, counts: &Counts, now: Instant) {
        let report = Report {
            reachable: counts.reachable_hosts as usize,
            known: counts.known_hosts as usize,
            at: now,
        };
        self.reports.insert(from, report);
    }

    /// Returns the counters that have reported within `age`, up to `REPORT_RETENTION`.
    pub fn recent_senders(&self, age: Duration, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let recent = self
            .reports
            .iter()
            .filter(move |(_, report)| now < report.at + age);
        recent.map(|(from, _)| *from)
    }

    /// Returns whether another counter's report is valid, so that the counts known here are up to date.
    pub fn has_fresh_report(&self, now: Instant) -> bool {
        self.reports.values().any(|report| report.is_fresh(now))
    }

    /// Returns the number of hosts that are reachable, or were a while ago.
    pub fn known_hosts(&self) -> usize {
        self.last_seen.len()
    }

    /// Returns the number of reachable hosts.
    pub fn reachable_hosts(&self, now: Instant) -> usize {
        let last_seen = self.last_seen.values();
        last_seen
            .filter(|at| now < **at + UNREACHABLE_AFTER)
            .count()
    }

    /// Forgets all hosts, for use when none has sent anything for a while.
    pub fn reset(&mut self) {
        self.last_seen.clear();
        self.refresh_at = None;
    }

    /// Returns the share of a limit that may be admitted, from 0 to 1.
    pub fn share(&mut self, now: Instant) -> f64 {
        if self.refresh_at.is_none_or(|at| now >= at) {
            self.refresh_at = Some(now + SHARE_REFRESH);
            self.last_seen.retain(|_, at| now < *at + LOST_AFTER);
            self.reports
                .retain(|_, report| now < report.at + REPORT_RETENTION);
            self.share = self.compute_share(now);
        }
        self.share
    }

    fn compute_share(&self, now: Instant) -> f64 {
        if self.is_starting(now) {
            return 1.0;
        }
        let fresh = self.reports.values().filter(|report| report.is_fresh(now));
        let reachable = fresh.clone().map(|report| report.reachable).max();
        let known = fresh.map(|report| report.known).max();
        let reachable = self.reachable_hosts(now).max(reachable.unwrap_or_default());
        let known = self.known_hosts().max(known.unwrap_or_default());
        let all = match reachable * 2 > self.host_count {
            true => known.max(reachable),
            false => self.host_count.max(known),
        };
        let host_share = reachable as f64 / all.max(1) as f64;
        host_share.min(self.counter_share(now))
    }

    /// Returns the share of the counters that are reachable, including this one, of those that recently were. Reacts
    /// faster to a partition than the reachable hosts do, which send only one heartbeat per second.
    fn counter_share(&self, now: Instant) -> f64 {
        let reachable = 1 + self
            .reports
            .values()
            .filter(|report| report.is_fresh(now))
            .count();
        reachable as f64 / (1 + self.reports.len()) as f64
    }
}
