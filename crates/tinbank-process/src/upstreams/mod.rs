//! What online and batch processes alike do to know their upstreams: they ask engines for reports, and exchange the
//! first signs of leaving ones with their peers. See `docs/design/routing.md`.

mod leaving;
mod reports;

use tinbank_routing::Table;

use crate::Core;

/// Engines that a process asks for their report each second, unless its settings say otherwise.
pub const REPORTS_PER_SECOND: u32 = 1;

/// Starts the tasks on the current runtime, once the process has joined its peers. They end with the process.
pub fn follow(core: &Core, table: &Table, reports_per_second: u32) {
    let upstreams = core.platform.upstreams.clone();
    core.spawn(reports::ask(upstreams, table.clone(), reports_per_second));
    let Some(membership) = core.membership() else {
        return;
    };
    core.spawn(leaving::pass_on(
        core.recorder.clone(),
        table.clone(),
        membership.clone(),
    ));
    core.spawn(leaving::hear(table.clone(), membership.clone()));
}

#[cfg(test)]
mod tests;
