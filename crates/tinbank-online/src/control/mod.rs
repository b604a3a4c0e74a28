//! What the control thread does besides the common part of all processes: it feeds the routing table and the gate, which
//! traffic threads read.

mod load;
mod peers;
mod reports;

use std::sync::Arc;

use tinbank_admission::Teller;
use tinbank_process::{Core, hosts::Watch};
use tinbank_routing::Table;

pub(crate) use peers::Answerer;

use crate::{clock, context::Context};

/// Starts the control tasks on the current runtime. They end with the process.
pub(crate) fn start(core: &Core, ctx: &Arc<Context>, teller: Teller) {
    let table = &ctx.table;
    core.spawn(list(core.hosts(), table.clone()));
    core.spawn(reports::ask(ctx.upstreams.clone(), table.clone()));
    core.spawn(load::tell(table.clone(), teller));
    let Some(membership) = core.membership() else {
        return;
    };
    let recorder = ctx.recorder.clone();
    core.spawn(peers::pass_on_leaving(
        recorder,
        table.clone(),
        membership.clone(),
    ));
    core.spawn(peers::hear_leaving(table.clone(), membership.clone()));
    core.spawn(peers::share_limits(ctx.clone(), membership.clone()));
}

/// Gives the table each new host list.
async fn list(mut lists: Watch, table: Table) {
    loop {
        let list = lists.borrow_and_update().clone();
        if let Some(list) = list {
            table.list(&list, clock::now());
        }
        if lists.changed().await.is_err() {
            return;
        }
    }
}
