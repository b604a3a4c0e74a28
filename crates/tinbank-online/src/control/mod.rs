//! Control tasks of the online process, which update the routing table and the gate that traffic threads read.

pub(crate) mod limits;
mod load;
mod peers;

use std::sync::Arc;

use tinbank_admission::LoadReporter;
use tinbank_process::{Core, hosts::Watch, upstreams};
use tinbank_routing::Table;

pub(crate) use peers::PeerHandler;

use crate::{clock, context::Context};

/// Starts the control tasks on the current runtime; they run until the process ends.
pub(crate) fn start(
    core: &Core,
    ctx: &Arc<Context>,
    teller: LoadReporter,
    reports_per_second: u32,
) {
    let table = &ctx.table;
    core.spawn(follow_host_list(core.hosts(), table.clone()));
    upstreams::follow(core, table, reports_per_second);
    core.spawn(load::report(table.clone(), teller));
    let Some(membership) = core.membership() else {
        return;
    };
    core.spawn(limits::track_hosts(ctx.clone(), membership.clone()));
    core.spawn(limits::run_claim_requests(ctx.clone(), membership.clone()));
}

/// Updates the routing table with each new host list.
async fn follow_host_list(mut host_lists: Watch, table: Table) {
    loop {
        let list = host_lists.borrow_and_update().clone();
        if let Some(list) = list {
            table.apply_list(&list, clock::now());
        }
        if host_lists.changed().await.is_err() {
            return;
        }
    }
}
