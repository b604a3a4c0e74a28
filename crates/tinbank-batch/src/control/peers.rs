//! Signs of leaving upstreams, to and from other processes.

use std::time::Instant;

use tinbank_admission::Service as Admission;
use tinbank_base::{
    event::{Kind, Subject},
    frame::credit,
    record::Writer,
};
use tinbank_membership::Membership;
use tinbank_routing::Table;
use tinbank_timeline::Recorder;

use crate::owner::answer::Credits;

/// Passes on the first signs of leaving upstreams, our own and those that we heard of.
pub(super) async fn pass_on_leaving(recorder: Recorder, table: Table, membership: Membership) {
    loop {
        table.signed().await;
        for leaving in table.leaving(Instant::now()) {
            let subject = Subject {
                upstream: Some(leaving.upstream),
                ..Subject::default()
            };
            recorder.note(subject, Kind::UpstreamLeaving);
            membership.upstream_leaving(leaving);
        }
    }
}

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
