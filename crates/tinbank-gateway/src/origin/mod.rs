//! At which upstreams streams may go on.
//!
//! The host that gets the first event of a stream reports its origin to a few other hosts, which are chosen by a hash that all hosts
//! compute alike. A host to which the caller comes back asks them. See `docs/design/mixed-builds.md`.

mod barrier;
mod builds;
mod lookup;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::frame::{Frame, OriginQuery, OriginReply, OriginReport};
use tinbank_origin::{Answer, Key, Origin, Table};
use tokio::{sync::mpsc, time};

pub(crate) use self::{
    builds::{Builds, may_begin, may_serve, write_to_store},
    lookup::find,
};
use crate::{measure, node::Node};

/// Interval at which the origins of streams that still run are reported again, for hosts that have restarted or become keepers since.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Most origins in a datagram.
const MAX_REPORTS: usize = 100;

/// The origins that this host knows.
#[derive(Default)]
pub(crate) struct Origins {
    table: RefCell<Table>,
    /// Streams that run at this host.
    running: RefCell<HashMap<Key, Running>>,
    /// Queries that wait for the answers of other hosts.
    queries: RefCell<HashMap<u64, mpsc::UnboundedSender<(SocketAddr, Answer)>>>,
    next_query: Cell<u64>,
    pub builds: Builds,
}

#[derive(Clone, Debug)]
struct Running {
    origin: Origin,
    /// Responses that send the stream: a caller may resume it before its first connection is known to be closed.
    responses: usize,
    is_reported: bool,
}

/// A stream that runs at this host, until it is dropped.
pub(crate) struct RunningStream {
    node: Rc<Node>,
    key: Key,
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut running = self.node.origins.running.borrow_mut();
        let Some(stream) = running.get_mut(&self.key) else {
            return;
        };
        stream.responses -= 1;
        if stream.responses == 0 {
            running.remove(&self.key);
        }
    }
}

/// Records that a stream runs at this host, and reports its origin to other hosts.
pub(crate) fn begin(node: &Rc<Node>, key: Key, origin: &Origin) -> RunningStream {
    let now = Instant::now();
    let origins = &node.origins;
    origins.table.borrow_mut().record(key, origin.clone(), now);
    let mut running = origins.running.borrow_mut();
    let stream = running.entry(key).or_insert_with(|| Running {
        origin: origin.clone(),
        responses: 0,
        is_reported: false,
    });
    stream.responses += 1;
    drop(running);
    let report = OriginReport {
        key,
        origin: origin.clone(),
    };
    let frame = Frame::Origins(Vec::from([report]));
    for keeper in node.sharing.origin_keepers(key, now) {
        node.sharing.send_to(keeper, &frame);
    }
    RunningStream {
        node: Rc::clone(node),
        key,
    }
}

/// Reports the origins of long streams again, forever.
pub(crate) async fn refresh(node: Rc<Node>) {
    loop {
        time::sleep(REFRESH_INTERVAL).await;
        let now = Instant::now();
        for (keeper, reports) in due_reports(&node, now) {
            for chunk in reports.chunks(MAX_REPORTS) {
                node.sharing
                    .send_to(keeper, &Frame::Origins(chunk.to_vec()));
            }
        }
        measure::set_known_origins(node.origins.table.borrow().len());
    }
}

/// Returns the reports to send to each host, about the streams that ran an interval ago already.
fn due_reports(node: &Node, now: Instant) -> HashMap<SocketAddr, Vec<OriginReport>> {
    let mut due: HashMap<SocketAddr, Vec<OriginReport>> = HashMap::new();
    let mut table = node.origins.table.borrow_mut();
    for (key, stream) in node.origins.running.borrow_mut().iter_mut() {
        if !std::mem::replace(&mut stream.is_reported, true) {
            continue;
        }
        table.record(*key, stream.origin.clone(), now);
        for keeper in node.sharing.origin_keepers(*key, now) {
            due.entry(keeper).or_default().push(OriginReport {
                key: *key,
                origin: stream.origin.clone(),
            });
        }
    }
    due
}

/// Records what another host reports.
pub(crate) fn apply_reports(node: &Node, reports: Vec<OriginReport>) {
    let now = Instant::now();
    let mut table = node.origins.table.borrow_mut();
    for OriginReport { key, origin } in reports {
        table.record(key, origin, now);
    }
}

/// Answers a query of another host.
pub(crate) fn answer_query(node: &Node, from: SocketAddr, query: OriginQuery) {
    let answer = node.origins.table.borrow().get(query.key, Instant::now());
    let reply = OriginReply {
        query: query.query,
        answer,
    };
    node.sharing.send_to(from, &Frame::OriginReply(reply));
}

/// Passes the answer of another host to the query that waits for it.
pub(crate) fn apply_reply(node: &Node, from: SocketAddr, reply: OriginReply) {
    if let Some(query) = node.origins.queries.borrow().get(&reply.query) {
        // The query may have ended.
        let _ = query.send((from, reply.answer));
    }
}
