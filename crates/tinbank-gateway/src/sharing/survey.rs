//! Asks upstreams for their load while the allocator of this host learns.
//!
//! After hosts have lost power, upstreams go on with what they ran for them, and no lease tells so.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http_body_util::BodyExt;
use tinbank_allocator::allocator::Upstream;
use tokio::time;

use crate::{
    border::engine::Load,
    exchange::{self, Deadlines},
    node::Node,
};

/// How long an upstream may take to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two reports of an upstream at least. Source: a third of the time for which requests hold a slot,
/// so that a slot that a lost host's request leaves is known to be free soon; each report has a price.
const ROUND: Duration = Duration::from_millis(250);
/// Upstreams that are asked at the same time. Source: at 1,000 upstreams in a failure domain, to ask all at once took 15 MB
/// and 1,000 connections.
const AT_ONCE: usize = 4;
/// Time from asking some upstreams to asking the next ones, at least. Source: the host that asks is the one that deals slots, so
/// reports are bounded to 400 a second however many upstreams there are; 31 are still asked four times a second.
const STEP: Duration = Duration::from_millis(10);
/// Longest time for which upstreams are asked. Source: by then they have finished what lost hosts left.
const LONGEST: Duration = Duration::from_secs(10);

/// Asks whenever the allocator begins to learn, for as long as the process runs.
pub(crate) async fn survey(node: Rc<Node>) {
    loop {
        node.sharing.learning.notified().await;
        let until = Instant::now() + LONGEST;
        while Instant::now() < until && node.sharing.needs_reports(Instant::now()) {
            let next_round = Instant::now() + ROUND;
            ask_all(&node).await;
            time::sleep_until(next_round.into()).await;
        }
        node.sharing.settle();
    }
}

async fn ask_all(node: &Node) {
    let upstreams = node.sharing.unsettled();
    for some in upstreams.chunks(AT_ONCE) {
        let next_step = Instant::now() + STEP;
        join_all(some.iter().map(|upstream| note_load(node, upstream))).await;
        time::sleep_until(next_step.into()).await;
    }
}

async fn note_load(node: &Node, upstream: &Upstream) {
    match ask(node, upstream).await {
        Ok(Load { running, waiting }) => {
            log::info!(upstream:% = upstream.instance, running, waiting; "upstream reports its load");
            let requests = running + waiting;
            node.sharing
                .reported(&upstream.instance, requests, Instant::now());
        }
        Err(why) => {
            log::info!(upstream:% = upstream.instance, why:%; "upstream reports no load")
        }
    }
}

/// No report, and why.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Exchange(#[from] exchange::Error),
    #[error("broken off: {0}")]
    Broken(#[from] hyper::Error),
    #[error(transparent)]
    Unreadable(#[from] crate::border::engine::InvalidReport),
}

async fn ask(node: &Node, upstream: &Upstream) -> Result<Load, Error> {
    let until = Instant::now() + REPORT_TIMEOUT;
    let times = Deadlines {
        connect: until,
        response: until,
    };
    let (answer, _guard) =
        exchange::send(upstream.address, node.engine.load_request(), times).await?;
    let body = time::timeout_at(until.into(), answer.into_body().collect()).await;
    let body = body.map_err(|_| exchange::Error::Timeout)??;
    Ok(node
        .engine
        .parse_load(&upstream.instance, &body.to_bytes())?)
}
