//! Follows the lists that the platform keeps: the configuration, the upstreams and the hosts.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_relay::listing::Change;
use tokio::time;

use super::View;
use crate::{
    border::store::{Entries, Error, List, Offset, Written},
    dependency::Dependency,
    node::Node,
};

/// Time that the answer to a read may take beyond its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between two reads that found news, so that heartbeats of many upstreams are read together: each call at the store
/// has a price. Source: a quarter of the shortest time in which a leaving upstream has to be heard of.
const REST: Duration = Duration::from_millis(450);
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(150);

/// Follows a list for as long as the process runs.
pub(crate) async fn follow(node: Rc<Node>, list: List) {
    let mut position = None;
    let mut dependency = Dependency::new(name(list));
    loop {
        let read = read(&node, list, position).await;
        node.view.note_contact(list, &read);
        match read {
            Ok((entries, whole)) => {
                dependency.reached();
                position = Some(entries.end);
                let news = !entries.entries.is_empty();
                take_in(&node, list, entries, whole);
                if news {
                    time::sleep(REST).await;
                }
            }
            Err(error) => {
                if matches!(error, Error::Trimmed { .. }) {
                    position = None;
                }
                // What is known stays in force.
                dependency.failed(&error);
                time::sleep(RETRY).await;
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
    }
}

/// The entries since a position, or all of them. True if all.
async fn read(node: &Node, list: List, position: Option<Offset>) -> Result<(Entries, bool), Error> {
    let Some(from) = position else {
        let until = Instant::now() + ANSWER_TIMEOUT;
        return Ok((node.store.newest(list, until).await?, true));
    };
    let now = Instant::now();
    let wait = node.view.wait(list, now);
    let until = now + wait + ANSWER_TIMEOUT;
    let wait_ms = wait.as_millis() as u64;
    Ok((node.store.since(list, from, wait_ms, until).await?, false))
}

fn take_in(node: &Node, list: List, entries: Entries, whole: bool) {
    let now = Instant::now();
    let view = &node.view;
    if whole && list == List::Hosts {
        view.peers.borrow_mut().clear();
    }
    match list {
        List::Upstreams => take_upstreams(view, entries, whole, now),
        List::Config | List::Hosts => {
            let entries = entries.entries.into_iter();
            entries.for_each(|written| take_one(view, written));
        }
    }
    match list {
        List::Config => view.config_read_at.set(Some(now)),
        List::Upstreams => {
            view.upstreams_read_at.set(Some(now));
            node.sharing.list(view.dealt(&node.settings.failure_domain));
        }
        List::Hosts => {
            view.peers_read_at.set(Some(now));
            let peers = view.peers.borrow().values().cloned().collect();
            node.sharing.peers(peers);
        }
    }
    view.refreshed.notify_waiters();
}

fn take_upstreams(view: &View, entries: Entries, whole: bool, now: Instant) {
    let mut listing = view.upstreams.borrow_mut();
    let entries = entries.entries.into_iter();
    let mut changes = match whole {
        true => {
            let listed = entries.filter_map(|written| match written {
                Written::Upstream(upstream) => Some(upstream),
                _ => None,
            });
            listing.replace(listed.collect(), now)
        }
        false => entries
            .filter_map(|written| match written {
                Written::Upstream(upstream) => listing.add(upstream),
                Written::Gone(instance) => listing.remove(&instance, now),
                _ => None,
            })
            .collect(),
    };
    changes.extend(listing.settle(now));
    changes.iter().for_each(log_change);
}

fn log_change(change: &Change) {
    match change {
        Change::Listed(upstream) => log::info!(
            upstream:% = upstream.instance,
            address:% = upstream.address,
            leaving = upstream.leaving;
            "upstream listed"
        ),
        Change::Missing(instance) => {
            log::info!(upstream:% = instance; "upstream missing since the store was away, kept for now");
        }
        Change::Gone(instance) => log::info!(upstream:% = instance; "upstream gone"),
    }
}

fn take_one(view: &View, written: Written) {
    match written {
        Written::Config(config) => {
            let before = view.config.borrow().as_ref().map(|it| it.version);
            if before.is_some_and(|before| before >= config.version) {
                return;
            }
            log::info!(version = config.version, before:?; "configuration in force");
            *view.config.borrow_mut() = Some(Rc::new(config));
        }
        Written::Host(peer) => {
            view.peers
                .borrow_mut()
                .insert(peer.address.to_string(), peer);
        }
        Written::HostGone(key) => {
            view.peers.borrow_mut().remove(&key);
        }
        Written::Upstream(_) | Written::Gone(_) | Written::Other => {}
    }
}
