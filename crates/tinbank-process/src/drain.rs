//! What operators want left alone, as a process obeys it. See `docs/design/drain.md`.

use std::sync::Arc;

use tinbank_base::{id, platform::hosts::List};
use tinbank_configuration::follower::Follower;
use tokio::sync::watch;

use crate::hosts;

/// Lays what operators want left alone over the platform's list, whenever one of them changes. Waits for the configuration first:
/// until then, what they drained would pass for live.
pub(crate) async fn overlay(
    follower: Follower,
    mut listed: hosts::Watch,
    lists: watch::Sender<Option<Arc<List>>>,
) {
    let mut progress = follower.progress();
    if progress.wait_for(|progress| progress.ready).await.is_err() {
        return;
    }
    loop {
        progress.borrow_and_update();
        let list = listed.borrow_and_update().clone();
        if let Some(list) = list {
            let list = follower.snapshot().leaving.overlay(&list);
            lists.send_if_modified(|current| replace(current, list));
        }
        let changed = tokio::select! {
            changed = progress.changed() => changed,
            changed = listed.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

fn replace(current: &mut Option<Arc<List>>, list: List) -> bool {
    let differs = current.as_deref() != Some(&list);
    if differs {
        *current = Some(Arc::new(list));
    }
    differs
}

/// Waits until operators want a host drained.
pub async fn wanted(follower: &Follower, host: id::Host) {
    let mut progress = follower.progress();
    loop {
        progress.borrow_and_update();
        if follower.snapshot().leaving.hosts.contains(&host) {
            log::info!(event = "drain_wanted", host = host; "operators want this host drained");
            return;
        }
        if progress.changed().await.is_err() {
            // The follower ends with the process, which is then stopping anyway.
            std::future::pending::<()>().await;
        }
    }
}
