//! One entry host: an online and a batch process on runtimes of their own.

use std::net::SocketAddr;

use tinbank_base::{
    id,
    platform::hosts::{Member, State},
    record::Writer,
};
use tinbank_process::Runtimes;
use tinbank_server::threads::Handles;
use tokio::runtime::Handle;

use crate::freeze::Frozen;

/// A running process and the runtimes it is on.
#[derive(Debug)]
pub struct Process<S> {
    /// The process.
    pub server: S,
    runtimes: Runtimes,
    handles: Handles,
}

impl<S> Process<S> {
    /// A process that was started on these runtimes.
    pub fn new(server: S, runtimes: Runtimes, handles: Handles) -> Self {
        Self {
            server,
            runtimes,
            handles,
        }
    }

    /// Stops the process's threads until the result is dropped.
    pub fn freeze(&self) -> Frozen {
        let all: [Handle; 2] = [self.handles.control.clone(), self.handles.traffic.clone()];
        Frozen::new(&all)
    }

    /// The process, and the runtimes to end after it.
    pub fn into_parts(self) -> (S, Runtimes) {
        (self.server, self.runtimes)
    }
}

/// What the host list says of a process.
pub fn member(writer: Writer, peer: SocketAddr, http: SocketAddr, domain: &str) -> Member {
    Member {
        process: writer.process,
        peer,
        http,
        failure_domain: id::FailureDomain::from(domain),
        state: State::Live,
    }
}
