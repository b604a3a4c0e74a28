//! Stamps of frames.

use tinbank_base::{
    clock::Stamp,
    event::{Kind, Subject},
};
use tinbank_peer::Clock;
use tinbank_timeline::Recorder;

/// Stamps frames by the process's time line, so that causes come before effects over all processes.
#[derive(Debug)]
pub(crate) struct Timeline(pub(crate) Recorder);

impl Clock for Timeline {
    fn stamp(&self) -> Stamp {
        self.0.stamp()
    }

    fn observe(&self, stamp: Stamp) {
        self.0.observe(stamp);
    }

    fn note(&self, subject: Subject, kind: Kind) {
        self.0.note(subject, kind);
    }
}
