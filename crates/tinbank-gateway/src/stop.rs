//! A planned stop: no request is cut off.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{sync::Notify, time};

use crate::node::Node;

/// Time before the process is killed at which it ends by itself.
const MARGIN: Duration = Duration::from_millis(400);
/// How often the process looks whether its work is done.
const LOOK: Duration = Duration::from_millis(50);

/// Whether the process is to stop, and what it still does.
#[derive(Default)]
pub(crate) struct Stop {
    asked_at: Cell<Option<Instant>>,
    closing: Cell<bool>,
    changed: Notify,
    busy: Cell<usize>,
}

/// Work that a stop waits for. It ends when it is dropped.
pub(crate) struct WorkGuard(Rc<Node>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let busy = &self.0.stop.busy;
        busy.set(busy.get() - 1);
    }
}

impl Stop {
    /// True from the request to stop on.
    pub fn is_stopping(&self) -> bool {
        self.asked_at.get().is_some()
    }

    /// Waits until no new requests are taken any more, and idle connections may be closed.
    pub async fn closing(&self) {
        while !self.closing.get() {
            self.changed.notified().await;
        }
    }
}

/// Marks work that a stop waits for.
pub(crate) fn work(node: &Rc<Node>) -> WorkGuard {
    let busy = &node.stop.busy;
    busy.set(busy.get() + 1);
    WorkGuard(Rc::clone(node))
}

/// Stops the process: it takes requests until the balancer knows, finishes them, and returns.
pub(crate) async fn stop(node: Rc<Node>) {
    let now = Instant::now();
    let kill_at = now + node.settings.grace;
    node.stop.asked_at.set(Some(now));
    log::info!(busy = node.stop.busy.get(); "stop asked, not ready from now on");
    let end = kill_at - MARGIN;
    let balanced = now + node.settings.balancer_delay;
    time::sleep_until(balanced.min(end).into()).await;
    node.stop.closing.set(true);
    node.stop.changed.notify_waiters();
    log::info!(busy = node.stop.busy.get(); "no new requests are taken");
    while node.stop.busy.get() > 0 && Instant::now() < end {
        time::sleep(LOOK).await;
    }
    log::info!(busy = node.stop.busy.get(); "stopped");
}
