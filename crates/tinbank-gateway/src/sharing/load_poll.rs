//! Load reports of upstreams, requested while this host's allocator collects the leases of other hosts.
//!
//! Upstreams keep running the requests of failed hosts, which no lease accounts for.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use tinbank_allocator::allocator::Upstream;
use tokio::time;

use crate::{
    border::engine::Load,
    exchange::{self, Deadlines},
    node::Node,
};

const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest accepted report in bytes. An upstream in trouble may send bytes without end, which a host would keep in memory.
const MAX_REPORT_BYTES: usize = 64 << 10;
/// Minimum time between two reports of an upstream: a fraction of the time for which requests hold a slot, so that
/// slots of failed hosts are soon known to be free. A third of it, since each report has a cost.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Number of upstreams that are polled at the same time, which bounds memory and connections. Polling 1,000 upstreams
/// at once took 15 MB and 1,000 connections.
const BATCH_SIZE: usize = 4;
/// Minimum time between two batches. It bounds the load of the polling host, which also allocates the slots. Reports
/// stay below 400 a second however many upstreams there are.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time to poll; by then upstreams have finished the requests of failed hosts.
const MAX_POLL_TIME: Duration = Duration::from_secs(10);

/// Polls whenever the allocator starts to collect leases, forever.
pub(crate) async fn poll_upstream_load(node: Rc<Node>) {
    loop {
        node.sharing.learning.notified().await;
        let until = Instant::now() + MAX_POLL_TIME;
        while Instant::now() < until && node.sharing.needs_load_reports(Instant::now()) {
            let next_round = Instant::now() + ROUND_INTERVAL;
            poll_all(&node).await;
            time::sleep_until(next_round.into()).await;
        }
        node.sharing.clear_orphaned();
    }
}

async fn poll_all(node: &Node) {
    let upstreams = node.sharing.upstreams_to_poll();
    for batch in upstreams.chunks(BATCH_SIZE) {
        let next_batch = Instant::now() + BATCH_INTERVAL;
        join_all(batch.iter().map(|upstream| poll(node, upstream))).await;
        time::sleep_until(next_batch.into()).await;
    }
}

async fn poll(node: &Node, upstream: &Upstream) {
    match request_load(node, upstream).await {
        Ok(Load { running, waiting }) => {
            log::info!(upstream:% = upstream.instance, running, waiting; "upstream reports its load");
            let requests = running + waiting;
            node.sharing
                .record_load(&upstream.instance, requests, Instant::now());
        }
        Err(why) => {
            log::info!(upstream:% = upstream.instance, why:%; "upstream reports no load")
        }
    }
}

/// The reason why an upstream gave no report.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Exchange(#[from] exchange::Error),
    #[error(transparent)]
    Unreadable(#[from] crate::border::engine::InvalidReport),
}

async fn request_load(node: &Node, upstream: &Upstream) -> Result<Load, Error> {
    let until = Instant::now() + REPORT_TIMEOUT;
    let times = Deadlines {
        connect: until,
        response: until,
    };
    let (answer, _guard) =
        exchange::send(upstream.address, node.engine.load_request(), times).await?;
    let body = exchange::read_body(answer.into_body(), MAX_REPORT_BYTES, REPORT_TIMEOUT);
    let body = time::timeout_at(until.into(), body).await;
    let body = body.map_err(|_| exchange::Error::Timeout)??;
    Ok(node.engine.parse_load(&upstream.instance, &body)?)
}
