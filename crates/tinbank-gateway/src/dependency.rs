//! Whether a part of the platform's store is reachable. Each change is reported once, in the log and in the metrics.

use std::{fmt::Display, time::Instant};

use crate::measure;

/// A list or log of the store that the process reads or writes continuously.
#[derive(Debug)]
pub(crate) struct Dependency {
    name: &'static str,
    lost_at: Option<Instant>,
}

impl Dependency {
    /// Creates a dependency that counts as reachable until a call fails.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
        }
    }

    /// Records a call that succeeded.
    pub fn record_success(&mut self) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        measure::set_store_reachable(self.name, true);
        let lost_ms = lost_at.elapsed().as_millis() as u64;
        log::info!(dependency = self.name, lost_ms; "dependency regained");
    }

    /// Records a call that failed or timed out.
    pub fn record_failure(&mut self, error: &dyn Display) {
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(Instant::now());
        measure::set_store_reachable(self.name, false);
        log::warn!(dependency = self.name, error:%; "dependency lost");
    }
}
