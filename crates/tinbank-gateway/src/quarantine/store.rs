//! Writes the quarantined requests to the store, which keeps them across restarts of all hosts.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_quarantine::{fingerprint::short, table::Write};
use tokio::time;

use crate::node::Node;

/// Interval at which pending writes are checked in addition to each change, to notice expired quarantines and a new allocator.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes pending changes to the store for as long as the process runs. Only allocators do so: a request or part is written at most once for
/// each failure domain, however many hosts quarantine it.
pub(crate) async fn write_to_store(node: Rc<Node>) {
    loop {
        let _ = time::timeout(CHECK_INTERVAL, node.quarantine.changed.notified()).await;
        let now = Instant::now();
        let writes = node.quarantine.table.borrow_mut().pending_writes(now);
        node.quarantine.measure();
        if !node.sharing.is_allocator(now) {
            continue;
        }
        for write in writes {
            write_one(&node, write).await;
        }
    }
}

async fn write_one(node: &Node, write: Write) {
    let until = Instant::now() + WRITE_TIMEOUT;
    let written = match write {
        Write::Quarantine(quarantined) => node.store.quarantine(&quarantined, until).await,
        Write::Release(subject) => node.store.lift_quarantine(subject, until).await,
    };
    let (subject, held) = match write {
        Write::Quarantine(quarantined) => (quarantined.subject, true),
        Write::Release(subject) => (subject, false),
    };
    match written {
        Ok(()) => {
            log::info!(content:% = short(subject), held; "change of the quarantine written to the store");
            node.quarantine.table.borrow_mut().confirm_write(write);
        }
        Err(error) => {
            log::info!(content:% = short(subject), held, error:%; "change of the quarantine not written to the store yet");
            node.retry.backoff().await;
        }
    }
}
