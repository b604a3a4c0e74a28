//! Interface to the hybrid logical clock of the timeline recorder.

use std::fmt;

use tinbank_base::{
    clock::Stamp,
    event::{Kind, Subject},
};
use tinbank_timeline::Recorder;

/// Stamps sent frames and observes the stamps of received ones, so that the timeline orders every response after its
/// request. See `docs/design/timeline.md`.
pub trait Clock: Send + Sync + fmt::Debug {
    /// Returns the stamp of a frame that is about to be sent.
    fn stamp(&self) -> Stamp;

    /// Advances the clock to the stamp of a received frame.
    fn observe(&self, stamp: Stamp);

    /// Records an event about a peer in the timeline. Ignored by clocks without a timeline.
    fn note(&self, _subject: Subject, _kind: Kind) {}
}

impl Clock for Recorder {
    fn stamp(&self) -> Stamp {
        Self::stamp(self)
    }

    fn observe(&self, stamp: Stamp) {
        Self::observe(self, stamp);
    }

    fn note(&self, subject: Subject, kind: Kind) {
        Self::note(self, subject, kind);
    }
}
