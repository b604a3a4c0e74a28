//! Writes the requests that are held back to the store, where they outlast all hosts.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_quarantine::{fingerprint::short, table::Write};
use tokio::time;

use crate::{measure, node::Node};

/// How often the store is compared with what is held back, beside each change. Source: hosts whose allocator is lost have another
/// one after two heartbeats; requests are held back for an hour, so a second more or less is nothing.
const ROUND: Duration = Duration::from_secs(1);
/// How long a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes for as long as the process runs. The allocators of all failure domains do so, so each request is written a few times
/// at most, however many hosts hold it back.
pub(crate) async fn write_to_store(node: Rc<Node>) {
    loop {
        // A change wakes it at once; without one it looks again after a while.
        let _ = time::timeout(ROUND, node.quarantine.changed.notified()).await;
        let now = Instant::now();
        let writes = node.quarantine.table.borrow_mut().writes(now);
        measure::set_quarantined_requests(node.quarantine.table.borrow().held());
        if !node.sharing.is_allocator(now) {
            continue;
        }
        for write in writes {
            keep_one(&node, write).await;
        }
    }
}

async fn keep_one(node: &Node, write: Write) {
    let until = Instant::now() + WRITE_TIMEOUT;
    let written = match write {
        Write::Hold(held) => node.store.quarantine(&held, until).await,
        Write::Lift(request) => node.store.lift_quarantine(request, until).await,
    };
    let (request, held) = match write {
        Write::Hold(held) => (held.request, true),
        Write::Lift(request) => (request, false),
    };
    match written {
        Ok(()) => {
            log::info!(content:% = short(request), held; "request held back, written to the store");
            node.quarantine.table.borrow_mut().written(write);
        }
        Err(error) => {
            log::info!(content:% = short(request), held, error:%; "request held back, not written to the store yet");
            node.retry.backoff().await;
        }
    }
}
