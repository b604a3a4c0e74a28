//! Finds out whether an upstream that broke off a connection has ended, and under which requests.
//!
//! An upstream that ends closes its connections, and so do resets on the way and upstreams that give an answer up. Only the
//! first one refuses new connections, so the address is asked for one.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use smallvec::SmallVec;
use tinbank_base::id;
use tinbank_quarantine::{InFlight, Report, fingerprint::short};
use tokio::{task, time};

use crate::{
    exchange::{self, ProbeOutcome},
    measure,
    node::Node,
};

/// Time from a break to the first look. Source: a process that ends closes its connections one by one, within milliseconds; the
/// other requests that it had break meanwhile, so that one look serves all of them.
const SETTLE: Duration = Duration::from_millis(30);
/// How long an address may take to answer one look. Source: a round trip between failure domains, and a host that is busy.
const LOOK: Duration = Duration::from_millis(300);
/// Looks at an address that does not answer. Source: one packet in forty is lost on bad links; an upstream that has ended is
/// back after seconds, and would be taken for one that lives then.
const LOOKS: usize = 3;

/// Requests whose connections an upstream broke off.
pub(super) type Broken = SmallVec<[InFlight; 2]>;

/// An upstream broke off the connection of a request.
pub(crate) fn record_broken_connection(
    node: &Rc<Node>,
    upstream: &id::Instance,
    address: SocketAddr,
    blamed: InFlight,
) {
    let mut broken = node.quarantine.broken.borrow_mut();
    let is_new = !broken.contains_key(upstream);
    broken.entry(upstream.clone()).or_default().push(blamed);
    if is_new {
        task::spawn_local(look(Rc::clone(node), upstream.clone(), address));
    }
}

/// Looks whether an upstream has ended.
async fn look(node: Rc<Node>, upstream: id::Instance, address: SocketAddr) {
    time::sleep(SETTLE).await;
    let found = find(address).await;
    let requests = node.quarantine.broken.borrow_mut().remove(&upstream);
    let requests = requests.unwrap_or_default();
    measure::record_broken_connection(found.name());
    let names = requests.iter();
    let names = names.map(|it| format!("{}@{}", short(it.request), it.reached));
    let names: Vec<String> = names.collect();
    log::warn!(upstream:%, found = found.name(), contents:% = names.join(","); "upstream broke off");
    if found == ProbeOutcome::Refused {
        node.quarantine.saw_end(Report { upstream, requests });
    }
}

async fn find(address: SocketAddr) -> ProbeOutcome {
    let mut found = ProbeOutcome::Unresponsive;
    for _ in 0..LOOKS {
        found = exchange::probe(address, LOOK).await;
        if found != ProbeOutcome::Unresponsive {
            break;
        }
    }
    found
}
