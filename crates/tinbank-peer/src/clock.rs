//! The border to the recorder's hybrid clock.

use std::fmt;

use tinbank_base::clock::Stamp;
use tinbank_timeline::Recorder;

/// Stamps what is sent and takes in the stamps of what is received, so that the time line never shows an answer
/// before its question. See `docs/design/timeline.md`.
pub trait Clock: Send + Sync + fmt::Debug {
    /// Stamps a frame that is about to be sent.
    fn stamp(&self) -> Stamp;

    /// Takes in the stamp of a frame that was received.
    fn observe(&self, stamp: Stamp);
}

impl Clock for Recorder {
    fn stamp(&self) -> Stamp {
        Self::stamp(self)
    }

    fn observe(&self, stamp: Stamp) {
        Self::observe(self, stamp);
    }
}
