//! Backoff between failed calls to the store, shared by the whole process.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use rand::Rng;
use tinbank_feed::Backoff;
use tokio::{sync::Notify, time};

/// Longest delay after another call succeeded. Without it a call that keeps failing while others succeed would be retried
/// immediately each time.
const MAX_DELAY_AFTER_SUCCESS: Duration = Duration::from_millis(150);

/// Backoff that all failed calls share. The first call that succeeds ends the backoff of all others.
#[derive(Debug, Default)]
pub(crate) struct Retry {
    backoff: RefCell<Backoff>,
    succeeded: Notify,
    succeeded_at: Cell<Option<Instant>>,
}

impl Retry {
    /// Records that the store answered a call.
    pub fn record_success(&self) {
        self.backoff.borrow_mut().succeeded();
        self.succeeded_at.set(Some(Instant::now()));
        self.succeeded.notify_waiters();
    }

    /// Returns whether the store has answered a call within some time.
    pub fn has_succeeded_within(&self, time: Duration) -> bool {
        let succeeded_at = self.succeeded_at.get();
        succeeded_at.is_some_and(|at| at.elapsed() <= time)
    }

    /// Waits after a failed call until it may be retried.
    pub async fn backoff(&self) {
        let mut draw = rand::rng();
        let until = self.backoff.borrow_mut().failed(Instant::now(), &mut draw);
        if time::timeout_at(until.into(), self.succeeded.notified())
            .await
            .is_ok()
        {
            let delay = draw.random_range(Duration::ZERO..=MAX_DELAY_AFTER_SUCCESS);
            time::sleep(delay).await;
        }
    }
}
