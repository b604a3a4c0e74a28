//! Bootstrap: how a starting host gets the list of hosts.
//!
//! If each host read that list from the store, the load after a power loss would grow with the square of the fleet. So the first
//! delegates of the failure domains are registered in the store, and a starting host requests the list from one of them.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::Rng;
use tinbank_feed::{
    delegation::DELAY,
    message::Scope,
    source::{self, FirstDelegate},
};
use tokio::time;

use super::follower::fetch_update;
use crate::{
    border::store::{Error, List, ListEntry},
    node::Node,
    view,
};

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a host tries the first delegates before it reads the list of hosts itself.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest pause before the next first delegate is tried. After a power loss it starts at about the same time as this host.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which this host checks whether it is still the first delegate.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Gets the list of hosts from a first delegate that is registered in the store. Returns without it if there is none, or none
/// answers, and the caller reads the list from the store.
pub(crate) async fn bootstrap(node: &Node) {
    let first_delegates = match first_delegates(node).await {
        Ok(first_delegates) => first_delegates,
        Err(error) => {
            log::info!(error:%; "first delegates not read from the store");
            return;
        }
    };
    let own = node.sharing.own();
    if first_delegates.iter().any(|it| it.address == own.address) {
        log::info!("registered as the first delegate, reading the lists");
        node.feed.set_registered();
        return;
    }
    let candidates = source::bootstrap_candidates(&first_delegates, own);
    let until = Instant::now() + BOOTSTRAP_TIMEOUT;
    for delegate in candidates.iter().copied().cycle() {
        let requested_at = Instant::now();
        if requested_at >= until {
            return;
        }
        match fetch_update(node, delegate, Scope::Hosts).await {
            Ok(update) => view::apply_update(
                node,
                update,
                delegate,
                requested_at,
                node.view.is_own_domain_only(),
            ),
            Err(why) => log::info!(delegate:%, why:%; "list of hosts not received from a delegate"),
        }
        if node.feed.has_hosts() {
            log::info!(delegate:%; "list of hosts received from a delegate");
            return;
        }
        let pause = rand::rng().random_range(Duration::ZERO..=MAX_PAUSE);
        time::sleep(pause).await;
    }
}

async fn first_delegates(node: &Node) -> Result<Vec<FirstDelegate>, Error> {
    let until = Instant::now() + CALL_TIMEOUT;
    let page = node
        .store
        .read_newest(List::FirstDelegates, None, until)
        .await?;
    let entries = page.entries.into_iter();
    let first_delegates = entries.filter_map(|written| match written {
        ListEntry::FirstDelegate(first_delegate) => Some(first_delegate),
        _ => None,
    });
    Ok(first_delegates.collect())
}

/// Registers this host in the store whenever it becomes the first delegate of its failure domain. The delay avoids registrations by
/// hosts that take themselves for it because their first list of hosts is incomplete.
pub(crate) async fn register_first_delegate(node: Rc<Node>) {
    loop {
        node.feed.wait_until_first().await;
        let register_at = Instant::now() + DELAY;
        let mut is_registered = false;
        while node.feed.is_first() {
            if !is_registered && Instant::now() >= register_at {
                is_registered = register(&node).await;
            }
            time::sleep(CHECK_INTERVAL).await;
        }
    }
}

async fn register(node: &Node) -> bool {
    let first_delegate = FirstDelegate {
        failure_domain: node.settings.failure_domain.clone(),
        address: node.sharing.own().address,
    };
    let until = Instant::now() + CALL_TIMEOUT;
    match node
        .store
        .register_first_delegate(&first_delegate, until)
        .await
    {
        Ok(()) => {
            log::info!(failure_domain:% = first_delegate.failure_domain; "registered as the first delegate");
            true
        }
        Err(error) => {
            log::info!(error:%; "not registered as the first delegate yet");
            node.retry.backoff().await;
            false
        }
    }
}
