//! Asks other hosts since when the store has answered them, while this host's own contact with the store is too short for its list
//! to be relied on. See `docs/design/store-contact.md`.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_feed::message::{Contact, Scope, UpdateRequest};
use tokio::time;

use super::follower::post;
use crate::{node::Node, view};

/// Pause between two requests. A host confirms the contact only once it has read the store again itself, which takes it a second
/// at most.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks one host after the other whenever this host has read the upstreams after a gap, for as long as the process runs.
///
/// Only hosts that read the lists on behalf of others ask. The others learn it with the updates that they request, and in a large
/// fleet that starts all of them would ask the same few hosts.
pub(crate) async fn confirm(node: Rc<Node>) {
    node.feed.wait_for_hosts().await;
    loop {
        while !needs_contact(&node) {
            node.view.wait_for_refresh().await;
        }
        // The first delegates of other failure domains come last and are asked first: near delegates may follow this host.
        let candidates = node.sharing.delegate_candidates(Instant::now());
        for host in candidates.iter().rev() {
            request_contact(&node, *host).await;
            if !needs_contact(&node) {
                break;
            }
            time::sleep(PAUSE).await;
        }
        time::sleep(PAUSE).await;
    }
}

fn needs_contact(node: &Node) -> bool {
    node.feed.reads_lists() && node.view.replica().needs_contact()
}

async fn request_contact(node: &Node, host: SocketAddr) {
    let request = UpdateRequest {
        scope: Scope::Contact,
        ..UpdateRequest::default()
    };
    let requested_at = Instant::now();
    let answer = post::<Contact>(host, &request);
    let Some(answer) = node.clock.discard_if_paused(answer).await else {
        return;
    };
    match answer {
        Ok(contact) => view::apply_contact(node, contact, host, requested_at),
        Err(why) => log::info!(host:%, why:%; "store contact not confirmed, no answer"),
    }
}
