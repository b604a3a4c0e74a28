//! Settings of a process, read at startup.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, FromInto, serde_as};
use tinbank_allocator::{Options, directory::Capacity, options::Strategy};
use tinbank_allowance::Tolerance;
use tinbank_base::id;
use tinbank_relay::region::Regions;

/// Settings of the entry program.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host in logs, and its member name in the consumer groups of the store.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: id::FailureDomain,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Resources of the host, by which work is distributed. Without it all hosts get equal shares.
    #[serde_as(as = "FromInto<Resources>")]
    #[serde(default)]
    pub capacity: Capacity,
    /// The platform's store.
    pub store: Store,
    /// Time from the request to stop until the process is killed.
    #[serde_as(as = "DurationSeconds<f64>")]
    #[serde(rename = "grace_s")]
    pub grace: Duration,
    /// How long the process still takes new requests after the request to stop, until the load balancer has noticed that it
    /// is not ready.
    #[serde_as(as = "DurationSeconds<f64>")]
    #[serde(rename = "balancer_s")]
    pub balancer_delay: Duration,
    /// By how much customers may exceed their limits. Without it limits hold as exactly as the hosts know each other's counts.
    #[serde(default)]
    pub allowance: Tolerance,
    /// How long a job can be read after its submission.
    #[serde_as(as = "DurationSeconds<f64>")]
    #[serde(rename = "job_readable_s")]
    pub job_retention: Duration,
    /// The region of each failure domain. Without it, requests that are restricted to regions are refused.
    #[serde(default)]
    pub regions: Regions,
    /// Decisions under load. Each is off without its setting.
    #[serde(default)]
    pub scheduling: Scheduling,
}

/// Which decisions under load are made, see `docs/hard-load.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scheduling {
    /// Serve waiting requests by fair shares of their customers.
    pub fair_shares: bool,
    /// How upstreams are chosen.
    pub placement: Placement,
    /// Prefer upstreams that keep parts of a prompt, on routes with session affinity.
    pub prefix_affinity: bool,
    /// Report the free slots of failure domains to hosts.
    pub share_room: bool,
    /// Take less work while this host is overloaded.
    pub shed_load: bool,
    /// Bound of what is kept for callers that read slowly, in KiB. Without it there is none.
    pub buffer_kb: Option<std::num::NonZeroU32>,
}

/// How upstreams are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// The upstream that processes the fewest requests.
    #[default]
    LeastLoaded,
    /// The upstream at which the first event is expected soonest.
    ExpectedFirstEvent,
}

impl From<Scheduling> for Options {
    fn from(settings: Scheduling) -> Self {
        Self {
            fair_shares: settings.fair_shares,
            strategy: match settings.placement {
                Placement::LeastLoaded => Strategy::LeastLoaded,
                Placement::ExpectedFirstEvent => Strategy::ExpectedFirstEvent,
            },
            prefix_affinity: settings.prefix_affinity,
            share_room: settings.share_room,
        }
    }
}

/// Resources of a host, in the units of the settings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Resources {
    /// Share of a core that the process gets.
    cpu_share: f64,
    /// Speed of that core, relative to the usual one.
    cpu_cores: f64,
    /// Memory in megabytes.
    memory_mb: f64,
    /// Network bandwidth in megabits per second.
    link_mbps: f64,
}

impl From<Resources> for Capacity {
    fn from(resources: Resources) -> Self {
        Self {
            cpu_millis: (resources.cpu_share * resources.cpu_cores * 1_000.0) as u32,
            memory_mb: resources.memory_mb as u32,
            link_mbps: resources.link_mbps as u32,
        }
    }
}

/// Addresses to listen at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers, online and batch.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Datagrams of other hosts, and connections of hosts that follow this one.
    pub peers: SocketAddr,
    /// Metrics in the Prometheus text format. Without it no metrics are served.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Number of partitions of each topic.
    pub partitions: u32,
    /// Largest record in bytes.
    pub record_bytes: usize,
    /// Largest append in bytes.
    pub call_bytes: usize,
    /// Shortest session timeout of group members that the store accepts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "least_member_ttl_ms")]
    pub min_member_ttl: Duration,
}
