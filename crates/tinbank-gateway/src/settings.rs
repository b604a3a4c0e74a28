//! What a process is told about itself when it starts.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, FromInto, serde_as};
use tinbank_allocator::directory::Capacity;
use tinbank_allowance::Tolerance;
use tinbank_base::id;

/// Settings of the entry program.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host, for logs and as the member name in the platform's groups.
    pub host: String,
    /// Failure domain that the host is in.
    pub failure_domain: id::FailureDomain,
    /// Addresses to listen at.
    pub listen: Listen,
    /// What the host has of its own, by which work is dealt out; equal shares without it.
    #[serde_as(as = "FromInto<Resources>")]
    #[serde(default)]
    pub capacity: Capacity,
    /// The platform's store.
    pub store: Store,
    /// After a request to stop, the time until the process is killed, in seconds.
    #[serde_as(as = "DurationSeconds<f64>")]
    #[serde(rename = "grace_s")]
    pub grace: Duration,
    /// After a request to stop, the time for which new requests are still taken, because the balancer has not noticed
    /// yet, in seconds. Source: two readiness checks of the balancer, a second apart, and their answers.
    #[serde_as(as = "DurationSeconds<f64>")]
    #[serde(rename = "balancer_s")]
    pub balancer_delay: Duration,
    /// How exactly limits of customers hold; without it, as exactly as hosts know of each other's counts.
    #[serde(default)]
    pub allowance: Tolerance,
    /// For how long a job is readable after its submission, in seconds.
    #[serde_as(as = "DurationSeconds<f64>")]
    #[serde(rename = "job_readable_s")]
    pub job_retention: Duration,
}

/// What a host has, in the units of its settings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Resources {
    /// Share of a core that the process gets.
    cpu_share: f64,
    /// How many times as fast as usual the core is.
    cpu_cores: f64,
    /// Memory in megabytes.
    memory_mb: f64,
    /// Bandwidth of its link in megabits a second.
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
    /// Callers' requests, online and batch.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Datagrams of other hosts, and connections of those that follow this one.
    pub peers: SocketAddr,
    /// Metrics, in the Prometheus text form; not served without it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Partitions of each topic.
    pub partitions: u32,
    /// Largest record in bytes.
    pub record_bytes: usize,
    /// Largest append in bytes.
    pub call_bytes: usize,
    /// Shortest time after which a silent member of a group loses its partitions, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "least_member_ttl_ms")]
    pub min_member_ttl: Duration,
}
