//! Faults of one service, switched in-process or through the admin server.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::watch;

/// What is wrong with a service now. The default is nothing.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// It refuses every call with status 503, and nothing takes effect.
    pub outage: bool,
    /// It is dead: connections break, the port refuses. Clearing it starts the service again; what
    /// was running is lost, a log keeps its records. It takes some milliseconds to show either way.
    pub killed: bool,
    /// It stands still: calls wait, and an engine makes no steps.
    pub paused: bool,
    /// It is leaving: it refuses new work, and says so; what is running goes on.
    pub leaving: bool,
    /// Each call takes effect only after this time, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// The answers to so many next calls are lost after the effect.
    pub lose_next: u32,
    /// Any answer is lost after the effect with this probability, from 0 to 1.
    pub lose_probability: f64,
}

/// Faults of one service; clones share them.
#[derive(Clone, Debug)]
pub struct Faults {
    state: Arc<watch::Sender<Fault>>,
    random: Arc<Mutex<StdRng>>,
}

impl Faults {
    /// No faults; losses that are drawn by probability follow `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Arc::new(watch::Sender::default()),
            random: Arc::new(Mutex::new(StdRng::seed_from_u64(seed))),
        }
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut Fault)) {
        self.state.send_modify(change);
    }

    /// The faults now.
    pub fn now(&self) -> Fault {
        self.state.borrow().clone()
    }

    /// Waits until the faults are as told.
    pub async fn until(&self, wanted: impl FnMut(&Fault) -> bool) {
        let mut state = self.state.subscribe();
        state
            .wait_for(wanted)
            .await
            .expect("the sender lives as long as self");
    }

    /// Whether the answer to the call at hand is to be lost; uses up one of `lose_next`.
    pub fn loses_answer(&self) -> bool {
        let mut lost = false;
        self.state.send_if_modified(|fault| {
            lost = fault.lose_next > 0;
            fault.lose_next = fault.lose_next.saturating_sub(1);
            lost
        });
        lost || self.draw()
    }

    fn draw(&self) -> bool {
        let probability = self.state.borrow().lose_probability.clamp(0.0, 1.0);
        if probability == 0.0 {
            return false;
        }
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random_bool(probability)
    }
}
