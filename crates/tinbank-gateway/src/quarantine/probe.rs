//! Probes whether an upstream that closed a connection has crashed, and with which requests in flight.
//!
//! A crash closes the upstream's connections, and so do resets on the way and upstreams that abort an answer. Only a crashed upstream
//! refuses new connections, so the probe tries to connect. A request that one more crash would quarantine waits for the probe.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use smallvec::SmallVec;
use tinbank_base::id;
use tinbank_quarantine::{CrashReport, InFlight, fingerprint::short};
use tokio::{task, time};

use crate::{
    exchange::{self, ProbeOutcome},
    measure,
    node::Node,
};

/// Delay of the first probe. A process that crashes closes its connections within milliseconds, so that one probe covers all requests
/// that it had.
const SETTLE_DELAY: Duration = Duration::from_millis(30);
/// Timeout of one probe: a round trip between failure domains, and a busy host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest number of probes without an answer, which allows for lost packets. A crashed upstream restarts within
/// seconds, and later probes would find it alive. One packet in forty is lost on bad links.
const MAX_PROBES: usize = 3;

/// Requests whose connections an upstream closed.
pub(super) type Interrupted = SmallVec<[InFlight; 2]>;

/// Records that an upstream closed the connection of a request, and starts to probe the upstream.
pub(crate) fn record_broken_connection(
    node: &Rc<Node>,
    upstream: &id::Instance,
    address: SocketAddr,
    in_flight: InFlight,
) {
    let mut interrupted = node.quarantine.interrupted.borrow_mut();
    let is_new = !interrupted.contains_key(upstream);
    interrupted
        .entry(upstream.clone())
        .or_default()
        .push(in_flight);
    if is_new {
        task::spawn_local(probe(Rc::clone(node), upstream.clone(), address));
    }
}

/// Probes an upstream, and reports a crash if it refuses connections.
async fn probe(node: Rc<Node>, upstream: id::Instance, address: SocketAddr) {
    time::sleep(SETTLE_DELAY).await;
    let found = probe_address(address).await;
    let requests = node.quarantine.interrupted.borrow_mut().remove(&upstream);
    let requests = requests.unwrap_or_default();
    measure::record_broken_connection(found.name());
    let contents = requests.iter();
    let contents = contents.map(|it| format!("{}@{}", short(it.request), it.reached));
    let contents: Vec<String> = contents.collect();
    log::warn!(upstream:%, found = found.name(), contents:% = contents.join(","); "upstream closed connections with requests in flight");
    if found == ProbeOutcome::Refused {
        node.quarantine
            .report_crash(CrashReport { upstream, requests });
    }
    node.quarantine.probed.notify_waiters();
}

async fn probe_address(address: SocketAddr) -> ProbeOutcome {
    let mut found = ProbeOutcome::Unresponsive;
    for _ in 0..MAX_PROBES {
        found = exchange::probe(address, PROBE_TIMEOUT).await;
        if found != ProbeOutcome::Unresponsive {
            break;
        }
    }
    found
}
