//! Reads the list of builds for callers whose streams no host knows.
//!
//! That a list lacks a build says something of a stream only if the list was read after its caller came back, see
//! `docs/design/mixed-builds.md`. Callers that come while a read is under way wait for the next one, so a host has one such read in
//! flight, however many callers come.

use std::{cell::Cell, time::Instant};

use tokio::{sync::Notify, time};

use crate::{
    border::store::{Error, List, Offset},
    node::Node,
    view::{self, View},
};

/// The reads of the list of builds that were made for callers.
#[derive(Default)]
pub(crate) struct Barrier {
    /// The latest read that was answered.
    answered: Cell<Option<Answered>>,
    /// When the latest read was requested that failed.
    failed: Cell<Option<Instant>>,
    is_reading: Cell<bool>,
    ended: Notify,
}

#[derive(Clone, Copy, Debug)]
struct Answered {
    requested_at: Instant,
    /// End of the list at that time or later.
    end: Offset,
}

/// Whether the list was read after a caller came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Passage {
    Answered,
    Failed,
    TimedOut,
}

impl Passage {
    /// Returns the label for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }
}

impl Barrier {
    /// Returns when the latest read was requested whose answer this host knows in full.
    pub fn requested_at(&self, view: &View) -> Option<Instant> {
        let position = view.position(List::Builds)?;
        let answered = self.answered.get().filter(|it| position >= it.end);
        answered.map(|it| it.requested_at)
    }
}

/// Waits until the list of builds was read after a caller came, or until a deadline.
pub(super) async fn pass(node: &Node, arrived_at: Instant, until: Instant) -> Passage {
    let barrier = &node.origins.builds.barrier;
    loop {
        let requested_at = barrier.requested_at(&node.view);
        if requested_at.is_some_and(|at| at >= arrived_at) {
            return Passage::Answered;
        }
        if barrier.failed.get().is_some_and(|at| at >= arrived_at) {
            return Passage::Failed;
        }
        if Instant::now() >= until {
            return Passage::TimedOut;
        }
        if barrier.is_reading.get() {
            // An error means that the time is over, which is checked above.
            let _ = time::timeout_at(until.into(), barrier.ended.notified()).await;
            continue;
        }
        read(node, until).await;
    }
}

async fn read(node: &Node, until: Instant) {
    let barrier = &node.origins.builds.barrier;
    let _reading = Reading::start(barrier);
    let requested_at = Instant::now();
    let read = time::timeout_at(until.into(), view::catch_up(node, List::Builds, until));
    let read = read
        .await
        .unwrap_or_else(|_| Err(Error::Unknown("timed out".into())));
    match read {
        Ok(end) => barrier.answered.set(Some(Answered { requested_at, end })),
        Err(error) => {
            log::info!(error:%; "builds that have served not read for a caller");
            barrier.failed.set(Some(requested_at));
        }
    }
}

/// A read under way. Its caller may leave before it is answered.
struct Reading<'a> {
    barrier: &'a Barrier,
}

impl<'a> Reading<'a> {
    fn start(barrier: &'a Barrier) -> Self {
        barrier.is_reading.set(true);
        Self { barrier }
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.barrier.is_reading.set(false);
        self.barrier.ended.notify_waiters();
    }
}
