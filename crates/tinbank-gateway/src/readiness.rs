//! When this host takes requests: once it knows what each decision about them depends on. See `docs/design/readiness.md`.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tokio::time;

use crate::{border::store::List, node::Node};

/// Interval of the checks until the host is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a host that knows the configuration and upstreams waits for the rest. Then it serves without, since the lists may
/// stay unreadable for as long as an outage of the store lasts.
const GRACE: Duration = Duration::from_secs(2);
/// Interval at which a host that is not ready logs what it lacks.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// What a host needs to know before it takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requirement {
    /// The routes, keys and limits, and which failure domains are evacuated.
    Configuration,
    /// The upstreams, or a first part of them.
    Upstreams,
    /// The other hosts, of which allocators grant slots and count what customers send.
    Hosts,
    /// The requests that crash upstreams.
    Quarantine,
    /// The log of jobs, at a delegate.
    Jobs,
}

type Requirements = SmallVec<[Requirement; 5]>;

const REQUIREMENTS: [Requirement; 5] = [
    Requirement::Configuration,
    Requirement::Upstreams,
    Requirement::Hosts,
    Requirement::Quarantine,
    Requirement::Jobs,
];

/// A requirement that is fulfilled.
#[derive(Clone, Copy, Debug)]
struct Fulfilled {
    requirement: Requirement,
    since: Instant,
}

/// Progress of a starting host.
#[derive(Debug)]
pub(crate) struct Readiness {
    started_at: Instant,
    /// Until when the host waits for the requirements that it can do without.
    wait_until: Cell<Option<Instant>>,
    /// Set once the host knows all but the jobs, or does without. It stays set.
    is_informed: Cell<bool>,
    /// Whether an allocator has granted this host a slot.
    has_slot: Cell<bool>,
    /// Since when each requirement is fulfilled.
    fulfilled: RefCell<SmallVec<[Fulfilled; 5]>>,
}

impl Default for Readiness {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            wait_until: Cell::default(),
            is_informed: Cell::default(),
            has_slot: Cell::default(),
            fulfilled: RefCell::default(),
        }
    }
}

impl Requirement {
    fn is_fulfilled(self, node: &Node) -> bool {
        match self {
            Self::Configuration => node.view.config().is_some(),
            Self::Upstreams => node.view.has_upstreams(),
            Self::Hosts => node.feed.has_hosts(),
            Self::Quarantine => node.view.position(List::Quarantine).is_some(),
            Self::Jobs => node.batch.is_caught_up() || !node.feed.is_delegate(),
        }
    }

    /// Returns whether a host may serve without it after a while.
    fn is_optional(self) -> bool {
        matches!(self, Self::Hosts | Self::Quarantine)
    }
}

impl Node {
    /// Returns whether the process can take requests: it knows what it needs, also the jobs if it is a delegate, and has not
    /// withdrawn because of overload. Other hosts forward calls about jobs.
    pub fn is_ready(&self) -> bool {
        let takes_calls = !self.stop.is_stopping() && !self.overload.has_withdrawn();
        takes_calls && self.is_informed() && Requirement::Jobs.is_fulfilled(self)
    }

    /// Returns whether the host knows what it needs for requests, which the jobs are not part of.
    pub fn is_informed(&self) -> bool {
        let readiness = &self.readiness;
        if readiness.is_informed.get() {
            return true;
        }
        let mut missing = self.missing();
        missing.retain(|it| *it != Requirement::Jobs);
        if missing.iter().any(|it| !it.is_optional()) {
            return false;
        }
        let now = Instant::now();
        let until = readiness.wait_until.get().unwrap_or(now + GRACE);
        readiness.wait_until.set(Some(until));
        if !missing.is_empty() {
            if now < until {
                return false;
            }
            log::warn!(missing:?; "requests are served without all that is needed for them");
        }
        readiness.is_informed.set(true);
        true
    }

    /// Waits until the host knows what it needs for requests.
    pub async fn wait_until_informed(&self) {
        while !self.is_informed() {
            time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn missing(&self) -> Requirements {
        let missing = REQUIREMENTS.iter().filter(|it| !it.is_fulfilled(self));
        missing.copied().collect()
    }
}

impl Readiness {
    /// Records that an allocator granted this host a slot, and logs how long after the start the first one was.
    pub fn record_slot(&self) {
        if !self.has_slot.replace(true) {
            let after_ms = self.started_at.elapsed().as_millis() as u64;
            log::info!(after_ms; "first slot granted");
        }
    }

    /// Records what is missing. A host that becomes a delegate lacks the jobs, which it did not need before.
    fn record(&self, missing: &Requirements) {
        let mut fulfilled = self.fulfilled.borrow_mut();
        fulfilled.retain(|it| !missing.contains(&it.requirement));
        for requirement in REQUIREMENTS {
            let is_known = fulfilled.iter().any(|it| it.requirement == requirement);
            if !is_known && !missing.contains(&requirement) {
                let since = Instant::now();
                fulfilled.push(Fulfilled { requirement, since });
            }
        }
    }

    /// Returns the time from the start until a requirement was fulfilled, in milliseconds; `None` if the host does without.
    fn fulfilled_after_ms(&self, requirement: Requirement) -> Option<u64> {
        let fulfilled = self.fulfilled.borrow();
        let fulfilled = fulfilled.iter().find(|it| it.requirement == requirement);
        fulfilled.map(|it| (it.since - self.started_at).as_millis() as u64)
    }
}

/// Logs how long each step took until the host was ready, and what is missing meanwhile.
pub(crate) async fn report(node: Rc<Node>) {
    let readiness = &node.readiness;
    let mut report_at = Instant::now() + REPORT_INTERVAL;
    loop {
        let missing = node.missing();
        readiness.record(&missing);
        if node.is_ready() {
            break;
        }
        if Instant::now() >= report_at {
            log::info!(missing:?; "host not ready yet");
            report_at += REPORT_INTERVAL;
        }
        time::sleep(CHECK_INTERVAL).await;
    }
    let after = |requirement| readiness.fulfilled_after_ms(requirement);
    log::info!(
        after_ms = readiness.started_at.elapsed().as_millis() as u64,
        configuration_ms:? = after(Requirement::Configuration),
        upstreams_ms:? = after(Requirement::Upstreams),
        hosts_ms:? = after(Requirement::Hosts),
        quarantine_ms:? = after(Requirement::Quarantine),
        jobs_ms:? = after(Requirement::Jobs);
        "host ready"
    );
}
