//! Control tasks of the online process, which update the routing table and the gate that traffic threads read.

pub(crate) mod limits;
mod load;
mod peers;

use std::sync::Arc;

use tinbank_admission::LoadReporter;
use tinbank_process::Core;

pub(crate) use peers::PeerHandler;

use crate::context::Context;

/// Starts the control tasks on the current runtime; they run until the process ends.
pub(crate) fn start(core: &Core, ctx: &Arc<Context>, reporter: LoadReporter) {
    core.spawn(load::report(ctx.table.clone(), reporter));
    let Some(membership) = core.membership() else {
        return;
    };
    core.spawn(limits::track_hosts(ctx.clone(), membership.clone()));
    core.spawn(limits::run_claim_requests(ctx.clone(), membership.clone()));
}
