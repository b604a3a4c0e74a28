//! Reads the list of builds for callers whose streams no host knows.
//!
//! That a list lacks a build says something of a stream only if the list was read after its caller came back, see
//! `docs/design/mixed-builds.md`. Callers that come while a read is under way wait for the next one, so a host has one such read in
//! flight, however many callers come.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use tokio::{sync::Notify, time};

use crate::{
    border::store::{Error, List, Offset},
    node::Node,
    view::{self, View},
};

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a caller waits: for a read that is under way when it comes, and for the next one.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a failed read, so that a store in trouble does not get a read for each caller.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// The reads of the list of builds that were made for callers.
#[derive(Default)]
pub(crate) struct Barrier {
    /// The latest read that was answered.
    answered: Cell<Option<Answered>>,
    /// Callers that came before this time are told that the latest read failed.
    failed_until: Cell<Option<Instant>>,
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
        let failed_until = barrier.failed_until.get();
        if failed_until.is_some_and(|at| at >= arrived_at) {
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

/// Reads the list. A caller that has less time than a read takes does not speak for the others, so that its read does not fail.
async fn read(node: &Node, until: Instant) {
    let barrier = &node.origins.builds.barrier;
    let _reading = Reading::start(barrier);
    let requested_at = Instant::now();
    let read_until = requested_at + READ_TIMEOUT;
    let read = view::catch_up(node, List::Builds, read_until);
    let error = match time::timeout_at(until.min(read_until).into(), read).await {
        Ok(Ok(end)) => {
            barrier.answered.set(Some(Answered { requested_at, end }));
            return;
        }
        Ok(Err(error)) => error,
        Err(_) if until < read_until => return,
        Err(_) => Error::Unknown("timed out".into()),
    };
    log::info!(error:%; "builds that have served not read for a caller");
    barrier
        .failed_until
        .set(Some(Instant::now() + FAILURE_PAUSE));
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
