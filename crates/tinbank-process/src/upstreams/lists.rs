//! Applies the host list to the routing table.

use tinbank_routing::Table;
use tokio::time;

use crate::{
    hosts::Watch,
    ready::{Checklist, Requirement},
};

/// Applies each new host list. The first one completes the requirement, since a process that is ready before would refuse requests
/// for want of upstreams.
pub(super) async fn follow(mut lists: Watch, table: Table, checklist: Checklist) {
    loop {
        let list = lists.borrow_and_update().clone();
        if let Some(list) = list {
            table.apply_list(&list, time::Instant::now().into_std());
            checklist.complete(Requirement::HostList);
        }
        if lists.changed().await.is_err() {
            return;
        }
    }
}
