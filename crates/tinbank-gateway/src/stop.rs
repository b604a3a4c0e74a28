//! Graceful shutdown: requests in flight are finished.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_relay::{grace::Grace, route::Route};
use tokio::{sync::Notify, time};

use crate::node::Node;

/// How long before the process is killed it exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How long before the process exits the last response has to be complete, so that it is sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// How often the shutdown checks whether all work is done.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of the shutdown, and the work it waits for.
#[derive(Default)]
pub(crate) struct Stop {
    /// Set once the process was asked to stop.
    grace: Cell<Option<Grace>>,
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
        self.grace.get().is_some()
    }

    /// Returns the time that is left for requests, if the process was asked to stop.
    pub fn grace(&self) -> Option<Grace> {
        self.grace.get()
    }

    /// Waits until the process is asked to stop.
    async fn wait_until_stopping(&self) -> Grace {
        loop {
            match self.grace.get() {
                Some(grace) => return grace,
                None => self.changed.notified().await,
            }
        }
    }

    /// Waits until requests without a response have to be answered, because the grace period ends.
    pub async fn wait_until_ending(&self) {
        let grace = self.wait_until_stopping().await;
        time::sleep_until(grace.ends_at.into()).await;
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

/// Waits until a request of a route that ends at `deadline` must not be sent any more, because it may outlast the grace period. That
/// is never while the process runs on, or while no other host could serve it.
pub(crate) async fn wait_until_too_late(node: Rc<Node>, route: Rc<Route>, deadline: Instant) {
    let grace = node.stop.wait_until_stopping().await;
    loop {
        let now = Instant::now();
        let longest = node.longest_response(&route);
        let latest = grace.latest_start(route.kind, deadline, longest);
        match latest.filter(|it| *it > now) {
            Some(latest) => time::sleep_until(latest.into()).await,
            None if node.sharing.has_responsive_other(now) => return,
            None => time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Shuts the process down: takes new requests until the load balancer has noticed, then waits until those in flight are done.
pub(crate) async fn shut_down(node: Rc<Node>) {
    let now = Instant::now();
    let kill_at = now + node.settings.grace;
    let deadline = kill_at - EXIT_MARGIN;
    node.stop.grace.set(Some(Grace {
        ends_at: deadline - RESPONSE_MARGIN,
    }));
    node.stop.changed.notify_waiters();
    log::info!(busy = node.stop.in_flight.get(); "stop requested, not ready from now on");
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
