//! Follows the lists that the platform keeps: the configuration, the upstreams and the hosts.

use std::{rc::Rc, time::Duration};

use tinbank_feed::Patience;
use tokio::time;

use super::{
    entries::{take_in, take_page},
    pages::{Pages, Read, read},
};
use crate::{
    border::store::{Error, List},
    dependency::Dependency,
    feed,
    node::Node,
};

/// Time that the answer to a read may take beyond its wait, where the store is not under load.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between two reads that found news, so that heartbeats of many upstreams are read together: each call at the store
/// has a price. Source: a quarter of the shortest time in which a leaving upstream has to be heard of.
const REST: Duration = Duration::from_millis(450);

/// Follows a list for as long as the process runs: at the store while it falls to this host to read it.
pub(crate) async fn follow(node: Rc<Node>, list: List) {
    let mut pages = Pages::default();
    let mut patience = Patience::new(ANSWER_TIMEOUT);
    let mut dependency = Dependency::new(name(list));
    if list == List::Hosts {
        feed::introduced(&node).await;
    }
    loop {
        node.feed.reads(list).await;
        if list == List::Upstreams && node.feed.tells_others() && node.view.is_narrow() {
            // Others are to be told of all upstreams.
            node.view.lists.of(list).forget();
        }
        let read = read(&node, list, &mut pages, patience.duration()).await;
        node.view.note_contact(list, &read);
        match read {
            Ok(Read::Part(entries)) => {
                patience.answered();
                if list == List::Upstreams {
                    take_page(&node, entries);
                }
            }
            Ok(Read::Since(entries)) => {
                patience.answered();
                dependency.record_success();
                let news = !entries.entries.is_empty();
                take_in(&node, list, entries, false);
                if news {
                    time::sleep(REST).await;
                }
            }
            Ok(Read::Whole(entries)) => {
                patience.answered();
                dependency.record_success();
                take_in(&node, list, entries, true);
                time::sleep(REST).await;
            }
            Err(error) => {
                if matches!(error, Error::Trimmed { .. }) {
                    node.view.lists.of(list).forget();
                }
                if matches!(error, Error::Unknown(_)) {
                    patience.missed();
                }
                // What is known stays in force.
                dependency.record_failure(&error);
                node.retry.backoff().await;
            }
        }
    }
}

/// The name of a list for logs and metrics.
fn name(list: List) -> &'static str {
    match list {
        List::Config => "config",
        List::Upstreams => "upstreams",
        List::Hosts => "hosts",
        List::Quarantine => "quarantine",
        List::FirstDelegates => "leads",
    }
}
