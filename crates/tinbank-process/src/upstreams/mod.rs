//! What online and batch processes alike do to know their upstreams: their routing table follows the host list, they ask engines
//! for reports, and exchange the first signs of leaving ones with their peers. See `docs/design/routing.md`.

mod leaving;
mod lists;
mod notices;
mod reports;

use std::sync::Arc;

use tinbank_base::peer::Answer;
use tinbank_membership::Membership;
use tinbank_routing::Table;

use crate::Core;

/// Engines that a process asks for their report each second, unless its settings say otherwise.
pub const REPORTS_PER_SECOND: u32 = 1;

/// How a process that sends requests to upstreams knows them.
#[derive(Clone, Debug)]
pub struct Routing {
    /// The routing table. Clones of it are read by traffic threads.
    pub table: Table,
    /// Engines that are asked for their report each second.
    pub reports_per_second: u32,
}

impl Routing {
    /// Returns the handler of peers' requests, with answers about leaving upstreams added.
    pub(crate) fn answerer(&self, core: &Core, inner: Arc<dyn Answer>) -> Arc<dyn Answer> {
        Arc::new(notices::Answerer {
            table: self.table.clone(),
            ready: core.ready.clone(),
            inner,
        })
    }

    /// Starts the tasks on the current runtime. They end with the process.
    pub(crate) fn follow(self, core: &Core, membership: &Membership) {
        let Self {
            table,
            reports_per_second,
        } = self;
        core.spawn(lists::follow(
            core.hosts(),
            table.clone(),
            core.checklist.clone(),
        ));
        let source = notices::Source {
            own: core.endpoint.address(),
            seeds: core.seeds().to_vec(),
            peers: core.peers(),
        };
        core.spawn(notices::fetch(
            source,
            core.hosts(),
            table.clone(),
            core.checklist.clone(),
        ));
        let upstreams = core.platform.upstreams.clone();
        core.spawn(reports::ask(upstreams, table.clone(), reports_per_second));
        core.spawn(leaving::pass_on(
            core.recorder.clone(),
            table.clone(),
            membership.clone(),
        ));
        core.spawn(leaving::hear(table, membership.clone()));
    }
}

#[cfg(test)]
mod tests;
