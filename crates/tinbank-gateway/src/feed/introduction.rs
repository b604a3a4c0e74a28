//! How a host that starts learns of the other hosts.
//!
//! If each host read the list of hosts, the store would have to tell the square of the fleet at once after a power loss. So the
//! first delegates of the failure domains are named in the store, and a host that starts asks one of them.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::Rng;
use tinbank_feed::{
    delegation::DELAY,
    message::Scope,
    source::{self, Lead},
};
use tokio::time;

use super::follower::exchange;
use crate::{
    border::store::{Error, List, ListEntry},
    node::Node,
    view,
};

/// How long a call at the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// For how long delegates are asked before a host reads the list of hosts itself.
const ASKING_TIME: Duration = Duration::from_secs(1);
/// Longest pause before the next one is asked: after a loss of all it starts at about the same time as this host.
const PAUSE: Duration = Duration::from_millis(100);
/// How often this host looks whether it is still the first delegate.
const LOOK: Duration = Duration::from_millis(500);

/// Learns the list of hosts from a delegate that is named in the store. Where there is none, or none that tells it, the host
/// reads the list itself.
pub(crate) async fn introduced(node: &Node) {
    let leads = match leads(node).await {
        Ok(leads) => leads,
        Err(error) => {
            log::info!(error:%; "names of the first delegates not read");
            return;
        }
    };
    let own = node.sharing.own();
    if leads.iter().any(|it| it.address == own.address) {
        log::info!("named as the first delegate, reading the lists");
        node.feed.named();
        return;
    }
    let introducers = source::introducers(&leads, own);
    let until = Instant::now() + ASKING_TIME;
    for delegate in introducers.iter().copied().cycle() {
        let asked_at = Instant::now();
        if asked_at >= until {
            return;
        }
        match exchange(node, delegate, Scope::Hosts).await {
            Ok(update) => view::take_told(node, update, asked_at, node.view.is_narrow()),
            Err(why) => log::info!(delegate:%, why:%; "list of hosts not told by a delegate"),
        }
        if node.feed.has_hosts() {
            log::info!(delegate:%; "list of hosts told by a delegate");
            return;
        }
        let pause = rand::rng().random_range(Duration::ZERO..=PAUSE);
        time::sleep(pause).await;
    }
}

async fn leads(node: &Node) -> Result<Vec<Lead>, Error> {
    let until = Instant::now() + CALL_TIMEOUT;
    let page = node
        .store
        .read_newest(List::FirstDelegates, None, until)
        .await?;
    let leads = page.entries.into_iter();
    let leads = leads.filter_map(|written| match written {
        ListEntry::FirstDelegate(lead) => Some(lead),
        _ => None,
    });
    Ok(leads.collect())
}

/// Names this host in the store whenever it has become the first delegate of its failure domain, and has been for a while: by
/// the first list that it reads, which may name few hosts, many take themselves for it.
pub(crate) async fn name_lead(node: Rc<Node>) {
    loop {
        node.feed.first().await;
        let named_from = Instant::now() + DELAY;
        let mut is_named = false;
        while node.feed.is_first() {
            if !is_named && Instant::now() >= named_from {
                is_named = name(&node).await;
            }
            time::sleep(LOOK).await;
        }
    }
}

async fn name(node: &Node) -> bool {
    let lead = Lead {
        failure_domain: node.settings.failure_domain.clone(),
        address: node.sharing.own().address,
    };
    let until = Instant::now() + CALL_TIMEOUT;
    match node.store.register_first_delegate(&lead, until).await {
        Ok(()) => {
            log::info!(failure_domain:% = lead.failure_domain; "named as the first delegate");
            true
        }
        Err(error) => {
            log::info!(error:%; "not named as the first delegate yet");
            node.retry.backoff().await;
            false
        }
    }
}
