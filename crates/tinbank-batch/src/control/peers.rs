//! What is exchanged with other processes.

use std::{
    sync::{Arc, OnceLock},
    time::Instant,
};

use tinbank_admission::Service as Admission;
use tinbank_base::{
    clock::Stamp,
    frame::credit,
    peer::{Directory, Members},
    record::Writer,
};
use tinbank_membership::Membership;
use tinbank_peer::Clock;
use tinbank_routing::Table;
use tinbank_timeline::Recorder;

use crate::owner::answer::Credits;

/// Takes in what peers say of leaving upstreams.
pub(super) async fn hear_leaving(table: Table, membership: Membership) {
    let mut leaving = membership.leaving();
    loop {
        let words = leaving.borrow_and_update().clone();
        for word in words.iter() {
            table.hear(*word, Instant::now());
        }
        if leaving.changed().await.is_err() {
            return;
        }
    }
}

impl Credits for Admission {
    fn told(&self, from: Writer, message: credit::Message) {
        Self::told(self, from, message);
    }
}

/// Who is there, once the membership has started: it needs the HTTP address, and the HTTP server needs this.
#[derive(Debug, Default)]
pub(crate) struct LateDirectory(OnceLock<Membership>);

impl LateDirectory {
    /// From now on the membership answers.
    pub(crate) fn set(&self, membership: Membership) {
        // It is set once, at the start; a second one would be the same.
        let _ = self.0.set(membership);
    }
}

impl Directory for LateDirectory {
    fn members(&self) -> Arc<Members> {
        self.0.get().map(Directory::members).unwrap_or_default()
    }
}

/// Stamps frames by the process's time line.
#[derive(Debug)]
pub(crate) struct PeerClock(pub(crate) Recorder);

impl Clock for PeerClock {
    fn stamp(&self) -> Stamp {
        self.0.stamp()
    }

    fn observe(&self, stamp: Stamp) {
        self.0.observe(stamp);
    }
}
