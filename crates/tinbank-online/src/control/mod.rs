//! What the control thread does besides the common part of all processes: it feeds the routing table and the gate, which
//! traffic threads read.

pub(crate) mod limits;
mod load;
mod peers;

use std::sync::Arc;

use tinbank_admission::LoadReporter;
use tinbank_process::{Core, hosts::Watch, upstreams};
use tinbank_routing::Table;

pub(crate) use peers::Answerer;

use crate::{clock, context::Context};

/// Starts the control tasks on the current runtime. They end with the process.
pub(crate) fn start(
    core: &Core,
    ctx: &Arc<Context>,
    teller: LoadReporter,
    reports_per_second: u32,
) {
    let table = &ctx.table;
    core.spawn(list(core.hosts(), table.clone()));
    upstreams::follow(core, table, reports_per_second);
    core.spawn(load::tell(table.clone(), teller));
    let Some(membership) = core.membership() else {
        return;
    };
    core.spawn(limits::follow(ctx.clone(), membership.clone()));
    core.spawn(limits::ask(ctx.clone(), membership.clone()));
}

/// Gives the table each new host list.
async fn list(mut lists: Watch, table: Table) {
    loop {
        let list = lists.borrow_and_update().clone();
        if let Some(list) = list {
            table.apply_list(&list, clock::now());
        }
        if lists.changed().await.is_err() {
            return;
        }
    }
}
