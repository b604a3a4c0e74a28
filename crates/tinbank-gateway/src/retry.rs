//! The pauses between calls at the store that failed, for the whole process.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use rand::Rng;
use tinbank_feed::Backoff;
use tokio::{sync::Notify, time};

/// Most of the pause that is left once another call was answered. Without it a call that fails alone while others are
/// answered would be made again at once, each time.
const AFTER_ANSWER: Duration = Duration::from_millis(150);

/// Calls that failed wait here before they are made again. The first one that is answered ends the pauses of all.
#[derive(Debug, Default)]
pub(crate) struct Retry {
    backoff: RefCell<Backoff>,
    answered: Notify,
}

impl Retry {
    /// The store has answered a call.
    pub fn answered(&self) {
        self.backoff.borrow_mut().succeeded();
        self.answered.notify_waiters();
    }

    /// Pauses after a call that failed.
    pub async fn backoff(&self) {
        let mut draw = rand::rng();
        let until = self.backoff.borrow_mut().failed(Instant::now(), &mut draw);
        if time::timeout_at(until.into(), self.answered.notified())
            .await
            .is_ok()
        {
            let rest = draw.random_range(Duration::ZERO..=AFTER_ANSWER);
            time::sleep(rest).await;
        }
    }
}
