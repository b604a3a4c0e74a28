//! Signs of leaving upstreams, to and from other processes.

use std::time::Instant;

use tinbank_base::event::{Kind, Subject};
use tinbank_membership::Membership;
use tinbank_routing::Table;
use tinbank_timeline::Recorder;
use tokio::time;

/// Passes on the first signs of leaving upstreams, our own and those that we heard of.
pub(super) async fn pass_on(recorder: Recorder, table: Table, membership: Membership) {
    loop {
        table.leaving_changed().await;
        for leaving in table.leaving_updates(now()) {
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
pub(super) async fn hear(table: Table, membership: Membership) {
    let mut leaving = membership.leaving();
    loop {
        let words = leaving.borrow_and_update().clone();
        for word in words.iter() {
            table.apply_leaving(*word, now());
        }
        if leaving.changed().await.is_err() {
            return;
        }
    }
}

fn now() -> Instant {
    time::Instant::now().into_std()
}
