//! Probes whether an upstream that closed a connection has crashed, and with which requests in flight.
//!
//! A crash closes the upstream's connections, and so do resets on the way and upstreams that abort an answer. Only a crashed upstream
//! refuses new connections, so the probe tries to connect. A request that one more crash would quarantine waits for the probe, and so
//! does the end of an answer that a crash may have cut.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use smallvec::SmallVec;
use tinbank_base::id;
use tinbank_quarantine::{CrashReport, InFlight, fingerprint::short};
use tokio::{sync::oneshot, task, time};

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

/// A request whose connection an upstream closed.
pub(super) struct Interrupted {
    pub in_flight: InFlight,
    /// Gets the outcome if the answer may be whole. The answer did break off if there is none.
    whole_if_alive: Option<oneshot::Sender<ProbeOutcome>>,
}

/// The requests whose connections an upstream closed.
pub(super) type Interruptions = SmallVec<[Interrupted; 2]>;

/// Records that an upstream closed the connection of a request, and starts to probe the upstream.
pub(crate) fn record_broken_connection(
    node: &Rc<Node>,
    upstream: &id::Instance,
    address: SocketAddr,
    in_flight: InFlight,
) {
    let interrupted = Interrupted {
        in_flight,
        whole_if_alive: None,
    };
    record(node, upstream, address, interrupted);
}

/// Records that an answer ended with its connection, which is how a crash shows as well. The receiver gets the outcome of a probe that
/// began after this.
pub(crate) fn record_unmarked_end(
    node: &Rc<Node>,
    upstream: &id::Instance,
    address: SocketAddr,
    in_flight: InFlight,
) -> oneshot::Receiver<ProbeOutcome> {
    let (sender, probed) = oneshot::channel();
    let interrupted = Interrupted {
        in_flight,
        whole_if_alive: Some(sender),
    };
    record(node, upstream, address, interrupted);
    probed
}

fn record(node: &Rc<Node>, upstream: &id::Instance, address: SocketAddr, interrupted: Interrupted) {
    let mut all = node.quarantine.interrupted.borrow_mut();
    let is_new = !all.contains_key(upstream);
    all.entry(upstream.clone()).or_default().push(interrupted);
    if is_new {
        task::spawn_local(probe_until_covered(
            Rc::clone(node),
            upstream.clone(),
            address,
        ));
    }
}

/// Probes an upstream until a probe has begun after the last of its connections was closed.
async fn probe_until_covered(node: Rc<Node>, upstream: id::Instance, address: SocketAddr) {
    loop {
        time::sleep(SETTLE_DELAY).await;
        let covered = interrupted_count(&node, &upstream);
        let found = probe_address(address).await;
        let requests = take_covered(&node, &upstream, covered, found);
        record_outcome(&node, &upstream, requests, found);
        node.quarantine.probed.notify_waiters();
        if interrupted_count(&node, &upstream) == 0 {
            return;
        }
    }
}

fn interrupted_count(node: &Node, upstream: &id::Instance) -> usize {
    let interrupted = node.quarantine.interrupted.borrow();
    interrupted.get(upstream).map_or(0, SmallVec::len)
}

/// Removes the requests that a probe covers. An upstream that accepted the connection may have crashed since.
fn take_covered(
    node: &Node,
    upstream: &id::Instance,
    covered: usize,
    found: ProbeOutcome,
) -> Interruptions {
    let mut interrupted = node.quarantine.interrupted.borrow_mut();
    let Some(requests) = interrupted.get_mut(upstream) else {
        return Interruptions::new();
    };
    let covered = match found {
        ProbeOutcome::Listening => covered,
        ProbeOutcome::Refused | ProbeOutcome::Unresponsive => requests.len(),
    };
    let taken = requests.drain(..covered).collect();
    if requests.is_empty() {
        interrupted.remove(upstream);
    }
    taken
}

/// Passes on what a probe found, and reports a crash if the upstream refuses connections.
fn record_outcome(
    node: &Node,
    upstream: &id::Instance,
    requests: Interruptions,
    found: ProbeOutcome,
) {
    let has_broken = requests.iter().any(|it| it.whole_if_alive.is_none());
    let mut in_flight = SmallVec::new();
    for request in requests {
        in_flight.push(request.in_flight);
        if let Some(waiting) = request.whole_if_alive {
            // Callers that have left wait no longer.
            let _ = waiting.send(found);
        }
    }
    // Answers that may end with their connections are in order if the upstream is alive.
    if has_broken || found != ProbeOutcome::Listening {
        measure::record_broken_connection(found.name());
        log_broken(upstream, &in_flight, found);
    }
    if found == ProbeOutcome::Refused {
        node.quarantine.report_crash(CrashReport {
            upstream: upstream.clone(),
            requests: in_flight,
        });
    }
}

fn log_broken(upstream: &id::Instance, requests: &[InFlight], found: ProbeOutcome) {
    let contents = requests.iter();
    let contents = contents.map(|it| format!("{}@{}", short(it.request), it.reached));
    let contents: Vec<String> = contents.collect();
    log::warn!(upstream:%, found = found.name(), contents:% = contents.join(","); "upstream closed connections with requests in flight");
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
