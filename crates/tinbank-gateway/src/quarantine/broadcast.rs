//! Broadcasts this host's observations of requests, and parts of prompts, that crash upstreams.

use std::{rc::Rc, time::Duration};

use tinbank_allocator::frame::Frame;
use tinbank_quarantine::Update;
use tokio::{task, time};

use crate::node::Node;

/// Delay after which an update is sent again, in case the first datagram was lost. Longer than a burst of traffic on a link, and
/// shorter than the time after which a caller retries.
const RESEND_DELAY: Duration = Duration::from_millis(150);

/// Broadcasts updates for as long as the process runs.
pub(crate) async fn broadcast(node: Rc<Node>) {
    loop {
        node.quarantine.posted.notified().await;
        let updates = node.quarantine.outbox.take();
        for update in updates {
            task::spawn_local(send_twice(Rc::clone(&node), update));
        }
    }
}

async fn send_twice(node: Rc<Node>, update: Update) {
    node.sharing.broadcast(&Frame::Quarantine(update.clone()));
    time::sleep(RESEND_DELAY).await;
    if let Some(update) = still_relevant(&node, update) {
        node.sharing.broadcast(&Frame::Quarantine(update));
    }
}

/// Removes requests and parts from a crash report that were cleared in the meantime. Returns None if there are no requests left, or if the
/// trial that began has crashed an upstream since, which ends the wait for it.
fn still_relevant(node: &Node, update: Update) -> Option<Update> {
    let mut report = match update {
        Update::Crashed(report) => report,
        Update::Cleared(_) => return Some(update),
        Update::TrialStarted { subject, source } => {
            return node.quarantine.is_tried(source, subject).then_some(update);
        }
    };
    report
        .requests
        .retain(|it| node.quarantine.is_suspect(it.request));
    for request in &mut report.requests {
        request
            .parts
            .retain(|part| node.quarantine.is_suspect(*part));
    }
    (!report.requests.is_empty()).then_some(Update::Crashed(report))
}
