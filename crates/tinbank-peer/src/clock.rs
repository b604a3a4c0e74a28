//! The border to the recorder's hybrid clock.

use std::fmt;

use tinbank_base::{
    clock::Stamp,
    event::{Kind, Subject},
};
use tinbank_timeline::Recorder;

/// Stamps what is sent and takes in the stamps of what is received, so that the time line never shows an answer
/// before its question. See `docs/design/timeline.md`.
pub trait Clock: Send + Sync + fmt::Debug {
    /// Stamps a frame that is about to be sent.
    fn stamp(&self) -> Stamp;

    /// Takes in the stamp of a frame that was received.
    fn observe(&self, stamp: Stamp);

    /// Notes an event about a peer, where there is a time line to note it in.
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
