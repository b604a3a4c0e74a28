//! What traffic threads work with.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tinbank_base::{
    peer::{Directory, Members, Peers},
    platform::upstream::Upstreams,
    record::Writer,
};
use tinbank_configuration::{Snapshot, snapshot::Shared};
use tinbank_routing::{Table, retry::Budget};
use tinbank_server::{
    metrics,
    operator::{self, Configuration},
    readiness::{Flag, State},
};
use tinbank_timeline::Recorder;
use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

use crate::gate::Gate;

/// What the handlers share.
#[derive(Debug)]
pub struct Context {
    pub(crate) writer: Writer,
    pub(crate) shards: u16,
    pub(crate) configuration: Shared,
    pub(crate) table: Table,
    pub(crate) upstreams: Arc<dyn Upstreams>,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) recorder: Recorder,
    pub(crate) ready: Flag,
    pub(crate) metrics: metrics::Handle,
    /// Where cancels and settlements run on when their request is gone.
    pub(crate) traffic: Handle,
    /// What has to end before the process may go.
    pub(crate) tasks: TaskTracker,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) gate: Gate,
}

impl Context {
    /// The configuration in force.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.configuration.load_full()
    }

    /// The budget of sending again, which all requests of the process share.
    pub(crate) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl operator::Context for Context {
    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn state(&self) -> State {
        self.ready.state()
    }

    fn metrics(&self) -> &metrics::Handle {
        &self.metrics
    }

    fn members(&self) -> Arc<Members> {
        self.directory.members()
    }

    fn configuration(&self) -> Configuration {
        Configuration {
            offset: self.configuration.load().next,
            current: self.ready.state() != State::Starting,
        }
    }
}
