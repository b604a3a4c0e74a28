//! Graceful shutdown: requests in flight are finished.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{sync::Notify, time};

use crate::node::Node;

/// How long before the process is killed it exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How often the shutdown checks whether all work is done.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of the shutdown, and the work it waits for.
#[derive(Default)]
pub(crate) struct Stop {
    requested_at: Cell<Option<Instant>>,
    is_closing: Cell<bool>,
    changed: Notify,
    in_flight: Cell<usize>,
    /// Callers' connections that have had a request. The end of a response waits in its connection until its caller reads.
    connections: Cell<usize>,
}

/// Guard for a caller's connection that the shutdown waits for. It is dropped when the connection has sent its responses and ends.
pub(crate) struct ConnectionGuard(Rc<Node>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.0.stop.connections;
        connections.set(connections.get() - 1);
    }
}

/// Registers a caller's connection that the shutdown waits for.
pub(crate) fn track_connection(node: &Rc<Node>) -> ConnectionGuard {
    let connections = &node.stop.connections;
    connections.set(connections.get() + 1);
    ConnectionGuard(Rc::clone(node))
}

/// Guard for work that the shutdown waits for. The work ends when the guard is dropped.
pub(crate) struct WorkGuard(Rc<Node>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let in_flight = &self.0.stop.in_flight;
        in_flight.set(in_flight.get() - 1);
    }
}

impl Stop {
    /// Returns whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.requested_at.get().is_some()
    }

    /// Returns whether there is work to finish, or a connection that may have to send the end of a response.
    fn is_busy(&self) -> bool {
        self.in_flight.get() > 0 || self.connections.get() > 0
    }

    /// Returns the number of calls and other work in progress.
    pub fn open_calls(&self) -> usize {
        self.in_flight.get()
    }

    /// Waits until the process takes no new requests, and idle connections can be closed.
    pub async fn wait_until_closing(&self) {
        while !self.is_closing.get() {
            self.changed.notified().await;
        }
    }
}

/// Registers work that the shutdown waits for.
pub(crate) fn track_work(node: &Rc<Node>) -> WorkGuard {
    let in_flight = &node.stop.in_flight;
    in_flight.set(in_flight.get() + 1);
    WorkGuard(Rc::clone(node))
}

/// Shuts the process down: takes new requests until the load balancer has noticed, then waits until those in flight are done.
pub(crate) async fn shut_down(node: Rc<Node>) {
    let now = Instant::now();
    let kill_at = now + node.settings.grace;
    node.stop.requested_at.set(Some(now));
    log::info!(busy = node.stop.in_flight.get(); "stop requested, not ready from now on");
    let deadline = kill_at - EXIT_MARGIN;
    let closing_at = now + node.settings.balancer_delay;
    time::sleep_until(closing_at.min(deadline).into()).await;
    node.stop.is_closing.set(true);
    node.stop.changed.notify_waiters();
    log::info!(busy = node.stop.in_flight.get(); "no new requests are taken");
    while node.stop.is_busy() && Instant::now() < deadline {
        time::sleep(POLL_INTERVAL).await;
    }
    log::info!(busy = node.stop.in_flight.get(), connections = node.stop.connections.get(); "stopped");
}
