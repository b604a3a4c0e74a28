//! Follows the lists of the platform's store: configuration, upstreams, hosts, quarantine and builds.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_feed::ResponseTimeout;
use tokio::time;

use super::{
    entries::{apply_entries, apply_page},
    pages::{Pages, Read, read, read_whole},
};
use crate::{
    border::store::{Error, List, Offset},
    dependency::Dependency,
    feed,
    node::Node,
};

/// Initial timeout of a read, in addition to the time for which the store may delay the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a read with changes, so that heartbeats of many upstreams are read together: each call to the store is costly. Short
/// against the time in which a leaving upstream has to become known.
const READ_PAUSE: Duration = Duration::from_millis(450);

/// Reads a list from the store while this host is responsible for it, for as long as the process runs.
pub(crate) async fn follow(node: Rc<Node>, list: List) {
    let mut pages = Pages::default();
    let mut timeout = ResponseTimeout::new(ANSWER_TIMEOUT);
    let mut dependency = Dependency::new(name(list));
    if list == List::Hosts {
        feed::bootstrap(&node).await;
    }
    loop {
        node.feed.wait_until_reader(list).await;
        if list == List::Upstreams && node.feed.serves_followers() && node.view.is_own_domain_only()
        {
            // Followers need the upstreams of all failure domains.
            node.view.reset(list);
        }
        let read = read(&node, list, &mut pages, timeout.duration()).await;
        node.view.record_read_result(list, &read);
        match read {
            Ok(Read::Page(entries)) => {
                timeout.on_response();
                if list == List::Upstreams {
                    apply_page(&node, entries);
                }
            }
            Ok(Read::Since(from, entries)) => {
                timeout.on_response();
                dependency.record_success();
                let has_changes = !entries.entries.is_empty();
                apply_entries(&node, list, entries, Some(from));
                if has_changes {
                    time::sleep(READ_PAUSE).await;
                }
            }
            Ok(Read::Whole(entries)) => {
                timeout.on_response();
                dependency.record_success();
                apply_entries(&node, list, entries, None);
                time::sleep(READ_PAUSE).await;
            }
            Err(error) => {
                if matches!(error, Error::Trimmed { .. }) {
                    node.view.reset(list);
                }
                if matches!(error, Error::Unknown(_)) {
                    timeout.on_timeout();
                }
                // The last known list stays in force.
                dependency.record_failure(&error);
                node.retry.backoff().await;
            }
        }
    }
}

/// Reads a list up to its present end, and returns this end. Takes one call if nothing has changed.
pub(crate) async fn catch_up(node: &Node, list: List, until: Instant) -> Result<Offset, Error> {
    loop {
        let Some(from) = node.view.position(list) else {
            let entries = read_whole(node, list, until).await?;
            apply_entries(node, list, entries, None);
            continue;
        };
        let entries = match node.store.read_since(list, from, 0, until).await {
            Err(Error::Trimmed { .. }) => {
                node.view.reset(list);
                continue;
            }
            read => read?,
        };
        let (is_end, end) = (entries.entries.is_empty(), entries.end);
        apply_entries(node, list, entries, Some(from));
        if is_end {
            return Ok(end);
        }
    }
}

/// Returns the name of a list for logs and metrics.
fn name(list: List) -> &'static str {
    match list {
        List::Config => "config",
        List::Upstreams => "upstreams",
        List::Hosts => "hosts",
        List::Quarantine => "quarantine",
        List::Builds => "builds",
        List::FirstDelegates => "leads",
    }
}
