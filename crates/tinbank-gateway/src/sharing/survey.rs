//! Asks upstreams for their load while the allocator of this host learns.
//!
//! After hosts have lost power, upstreams go on with what they ran for them, and no lease tells so.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use tokio::time;

use crate::{
    border::engine::Load,
    exchange::{self, Until},
    node::Node,
};

/// How long an upstream may take to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause between two reports of an upstream. Source: a third of the time for which requests hold a slot,
/// so that a slot that a lost host's request leaves is known to be free soon; each report has a price.
const PAUSE: Duration = Duration::from_millis(250);
/// Upstreams that are asked at the same time. Source: at 1,000 upstreams in a failure domain, to ask all at once took 15 MB
/// and 1,000 connections.
const AT_ONCE: usize = 16;
/// Longest time for which upstreams are asked. Source: by then they have finished what lost hosts left.
const LONGEST: Duration = Duration::from_secs(10);

/// Asks whenever the allocator begins to learn, for as long as the process runs.
pub(crate) async fn survey(node: Rc<Node>) {
    loop {
        node.sharing.learning.notified().await;
        let until = Instant::now() + LONGEST;
        while Instant::now() < until && node.sharing.needs_reports(Instant::now()) {
            ask_all(&node).await;
            time::sleep(PAUSE).await;
        }
    }
}

async fn ask_all(node: &Node) {
    let upstreams = node.sharing.dealt();
    let reports = upstreams
        .iter()
        .map(|it| async move { (it, ask(node, it.address).await) });
    let mut reports = stream::iter(reports).buffer_unordered(AT_ONCE);
    while let Some((upstream, load)) = reports.next().await {
        match load {
            Ok(load) => {
                let Load { running, waiting } = load;
                log::info!(upstream:% = upstream.instance, running, waiting; "upstream reports its load");
                node.sharing
                    .reported(&upstream.instance, running + waiting, Instant::now());
            }
            Err(why) => {
                log::info!(upstream:% = upstream.instance, why:%; "upstream reports no load")
            }
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
    Unreadable(#[from] crate::border::engine::Unreadable),
}

async fn ask(node: &Node, address: SocketAddr) -> Result<Load, Error> {
    let until = Instant::now() + REPORT_TIMEOUT;
    let times = Until {
        connected: until,
        answered: until,
    };
    let (answer, _guard) = exchange::send(address, node.engine.report(), times).await?;
    let body = time::timeout_at(until.into(), answer.into_body().collect()).await;
    let body = body.map_err(|_| exchange::Error::Silent)??;
    Ok(node.engine.load(&body.to_bytes())?)
}
