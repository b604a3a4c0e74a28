//! Route configuration and route selection.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_base::id;
use tinbank_customer::Customers;

/// The active configuration, as written by the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Increases with each change.
    pub version: u64,
    pub routes: Vec<Rc<Route>>,
    pub limits: Limits,
    /// Customers that may send requests; `None` lets anyone send them.
    pub customers: Option<Customers>,
    /// Services whose upstreams are rate limited while they are cold.
    pub cold_starts: Vec<ColdStart>,
    /// What the upstreams of services can hold.
    pub services: Vec<ServiceLimits>,
}

/// What each upstream of a service can hold. Limits that the operator does not give are `None`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLimits {
    pub service: id::Service,
    /// Memory for running requests and kept parts of prompts, in tokens.
    pub memory_tokens: Option<u32>,
    /// Connections that it accepts from all hosts together.
    pub max_connections: Option<u32>,
}

/// Rate limit of the cold upstreams of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    pub service: id::Service,
    /// Requests per second for each cold upstream.
    pub per_second: u32,
}

/// Size and time limits on what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request has to arrive.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

/// How the requests of some paths are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// Host name that requests are addressed to.
    pub host: String,
    /// Path prefix of the route; the longest matching prefix wins.
    pub prefix: String,
    pub kind: Kind,
    /// Services that its requests are distributed over.
    pub services: SmallVec<[Share; 2]>,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Target time for an answer; for streams, for the first event.
    pub target_latency: Duration,
    /// Number of upstreams that may run the same request.
    pub max_attempts: u32,
    /// Priority of its requests; 0 is the highest.
    pub rank: u8,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Longest time between two events of a stream.
    pub event_gap: Option<Duration>,
    /// Whether requests are sent where parts of their prompts are kept.
    pub session_affinity: bool,
    /// Regions in which its requests may run and be stored; `None` means all.
    pub allowed_regions: Option<SmallVec<[id::Region; 2]>>,
    /// Settings for batch jobs, on routes that accept them.
    pub batch: Batch,
}

/// Settings of a route for batch jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Number of tokens that may be queued on the route; `None` means no limit.
    pub quota: Option<u64>,
    /// Time after submission within which all results of a job are due.
    pub target: Duration,
    /// Time after submission from which an item may be abandoned.
    pub retention: Duration,
}

/// Share of a route's requests that a service receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub service: id::Service,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Kind of a route's requests, which decides when they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// Answered by an event stream. Only a resumable one may run more than once.
    Stream {
        /// Whether another upstream can continue the stream.
        resumable: bool,
    },
    /// Submission of batch jobs.
    Batch,
}

impl Kind {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

impl Config {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the requests per second that a cold upstream of a service accepts, if that is limited.
    pub fn cold_rate(&self, service: &str) -> Option<u32> {
        let mut starts = self.cold_starts.iter();
        starts
            .find(|it| it.service == service)
            .map(|it| it.per_second)
    }

    /// Returns what the upstreams of a service can hold, as far as the operator says.
    pub fn service_limits(&self, service: &str) -> Option<&ServiceLimits> {
        self.services.iter().find(|it| it.service == service)
    }

    /// Returns whether a host name has a batch route that needs no key, so that calls about jobs need none either.
    pub fn has_open_jobs(&self, host: &str) -> bool {
        let mut routes = self.routes.iter().filter(|route| route.host == host);
        routes.any(|route| route.is_open && route.kind == Kind::Batch)
    }
}

impl Route {
    /// Returns whether requests may be sent to a service.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.iter().any(|it| it.service == service)
    }

    /// Returns the service for a request, chosen by weight with the sequence or random number `draw`.
    pub fn service(&self, draw: u64) -> Option<&id::Service> {
        let total: u64 = self.services.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.services.first().map(|share| &share.service);
        }
        let mut left = draw % total;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}
