//! Follows a delegate, and switches to another one when it does not answer or its reads of the store are stale.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tinbank_feed::{
    Backoff, SourceSelector,
    message::{self, Scope, Update, UpdateRequest},
    source::MAX_AGE,
};
use tokio::time;

use super::server::max_wait;
use crate::{
    exchange::{self, Deadlines},
    node::Node,
    view,
};

/// Timeout to connect to a delegate: several round trips between failure domains, and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a response, in addition to the time for which the delegate may delay it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of each further part of a response.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest accepted response in bytes, a few times the size of a configuration of 10,000 routes.
const MAX_RESPONSE: usize = 8 << 20;
/// Interval at which a delegate checks whether its own reads of the store are fresh.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reason why an update was not received.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error(transparent)]
    Exchange(#[from] exchange::Error),
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Message(#[from] message::Error),
}

/// Follows delegates for as long as the process runs, except while this host itself reads fresh lists from the store.
pub(crate) async fn follow(node: Rc<Node>) {
    // Without a list of hosts there is nobody to follow yet, which is no reason to fall back to the store.
    node.feed.wait_for_hosts().await;
    // There are few delegates, however many hosts there are.
    let hosts = || match node.feed.is_delegate() {
        true => 1,
        false => node.sharing.host_count(),
    };
    let mut sources = SourceSelector::new(hosts(), Instant::now(), &mut rand::rng());
    // Limits the requests to delegates during an outage of the store, when none of them has an update.
    let mut backoff = Backoff::default();
    loop {
        let now = Instant::now();
        if node.feed.reads_lists() && is_fresh(&node, now) {
            sources = SourceSelector::new(hosts(), now, &mut rand::rng());
            node.feed.set_lacks_source(false);
            time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let candidates = node.sharing.delegate_candidates(now);
        let updated = match sources.select(&candidates, now) {
            Some(delegate) => request_update(&node, delegate).await,
            None => false,
        };
        let now = Instant::now();
        let mut rng = rand::rng();
        if updated {
            backoff.succeeded();
            sources.on_fresh_update(hosts(), now, &mut rng);
        } else {
            sources.advance(now);
            let retry_at = backoff.failed(now, &mut rng);
            time::sleep_until(retry_at.into()).await;
        }
        node.feed
            .set_lacks_source(sources.must_read_store(now) && !node.feed.reads_lists());
    }
}

fn is_fresh(node: &Node, now: Instant) -> bool {
    let age = node.view.age(now);
    Update {
        age,
        ..Update::default()
    }
    .is_fresh(MAX_AGE)
}

/// Requests an update from a delegate and applies it. Returns whether it was fresh.
async fn request_update(node: &Node, delegate: SocketAddr) -> bool {
    let requested_at = Instant::now();
    let scope = match node.feed.is_delegate() {
        true => Scope::Whole,
        false => Scope::Domain(node.settings.failure_domain.clone()),
    };
    let is_own_domain_only = scope != Scope::Whole;
    let longest_wait = max_wait(&scope);
    let Some(answer) = node
        .clock
        .discard_if_paused(fetch_update(node, delegate, scope))
        .await
    else {
        log::info!(delegate:%; "update of a delegate discarded, the process was paused meanwhile");
        return false;
    };
    let update = match answer {
        Ok(update) => update,
        Err(why) => {
            log::info!(delegate:%, why:%; "delegate not followed, no update received");
            return false;
        }
    };
    let is_fresh = update.is_fresh(MAX_AGE);
    if !is_fresh {
        let age = update.age;
        log::info!(delegate:%, age:?; "delegate has not read the store lately");
    }
    // If the process was paused, the response is older than the time at which it was read.
    let received_at = Instant::now().min(requested_at + longest_wait);
    view::apply_update(node, update, delegate, received_at, is_own_domain_only);
    is_fresh
}

/// Fetches an update from a delegate.
pub(super) async fn fetch_update(
    node: &Node,
    delegate: SocketAddr,
    scope: Scope,
) -> Result<Update, Error> {
    let lists = &node.view.lists;
    let mut update_request = UpdateRequest {
        config: node.view.config().map(|config| config.version),
        scope: scope.clone(),
        hosts: lists.hosts.position(),
        quarantine: lists.quarantine.position(),
        builds: lists.builds.position(),
        evacuations: lists.evacuations.position(),
        ..UpdateRequest::default()
    };
    node.view
        .replica()
        .fill_request(&scope, delegate, &mut update_request);
    post(delegate, &update_request).await
}

/// Sends a request to a host that serves followers.
pub(super) async fn post<T: DeserializeOwned>(
    host: SocketAddr,
    update_request: &UpdateRequest,
) -> Result<T, Error> {
    let max_wait = max_wait(&update_request.scope);
    let body = Bytes::from(message::encode(update_request)?);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    let now = Instant::now();
    let until = Deadlines {
        connect: now + CONNECT_TIMEOUT,
        response: now + max_wait + ANSWER_TIMEOUT,
    };
    let (response, _guard) = exchange::send(host, request, until).await?;
    let status = response.status();
    let body = exchange::read_body(response.into_body(), MAX_RESPONSE, STALL_TIMEOUT).await?;
    if !status.is_success() {
        return Err(Error::Status(status.as_u16()));
    }
    Ok(message::decode(&body)?)
}
