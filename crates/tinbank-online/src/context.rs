//! The state shared by the request handlers.

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

/// State shared by all handlers and control tasks of the process.
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
    /// Runs cancels and settlements that outlive their request.
    pub(crate) traffic: Handle,
    /// Tasks that have to finish before the process exits.
    pub(crate) tasks: TaskTracker,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) gate: Gate,
}

impl Context {
    /// Returns the active configuration.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.configuration.load_full()
    }

    /// Locks the retry budget, which all requests of the process share.
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
