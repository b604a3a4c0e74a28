//! Follows a delegate, and changes to another one when it does not answer or has not read the store lately.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use tinbank_feed::{
    Backoff, Sources,
    message::{self, Ask, Scope, Update},
    source::FRESH,
};
use tokio::time;

use super::server::wait;
use crate::{
    border::store::List,
    exchange::{self, Deadlines},
    node::Node,
    view,
};

/// How long a connection to a delegate may take. Source: several round trips between failure domains, and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long its answer may take beyond the wait for news. Source: what a host with little processor time takes for it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the next bytes of an answer may take.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest answer that is read, in bytes. Source: some times a configuration of 10,000 routes.
const MAX_ANSWER: usize = 8 << 20;
/// How often a delegate looks whether the store still answers it.
const LOOK: Duration = Duration::from_millis(500);

/// No news, and why.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error(transparent)]
    Exchange(#[from] exchange::Error),
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Message(#[from] message::Error),
}

/// Follows others for as long as the process runs, while the store does not tell it fresh news itself.
pub(crate) async fn follow(node: Rc<Node>) {
    // A host that knows no others yet has nobody to follow, and is not alone for that.
    node.feed.hosts_known().await;
    // Delegates are few, however many hosts there are.
    let hosts = || match node.feed.is_delegate() {
        true => 1,
        false => node.sharing.hosts(),
    };
    let mut sources = Sources::new(hosts(), Instant::now(), &mut rand::rng());
    // While the store is away for all, no delegate has anything to tell, and each has many followers.
    let mut backoff = Backoff::default();
    loop {
        let now = Instant::now();
        if node.feed.reads_lists() && is_fresh(&node, now) {
            sources = Sources::new(hosts(), now, &mut rand::rng());
            node.feed.set_alone(false);
            time::sleep(LOOK).await;
            continue;
        }
        let candidates = node.sharing.delegates(now);
        let told = match sources.choose(&candidates, now) {
            Some(delegate) => ask(&node, delegate).await,
            None => false,
        };
        let now = Instant::now();
        let mut draw = rand::rng();
        if told {
            backoff.succeeded();
            sources.fresh(hosts(), now, &mut draw);
        } else {
            sources.next(now);
            let again = backoff.failed(now, &mut draw);
            time::sleep_until(again.into()).await;
        }
        node.feed
            .set_alone(sources.is_alone(now) && !node.feed.reads_lists());
    }
}

fn is_fresh(node: &Node, now: Instant) -> bool {
    let age = node.view.age(now);
    Update {
        age,
        ..Update::default()
    }
    .is_fresh(FRESH)
}

/// Asks a delegate. True if it told fresh news, or that there is none.
async fn ask(node: &Node, delegate: SocketAddr) -> bool {
    let asked_at = Instant::now();
    let scope = match node.feed.is_delegate() {
        true => Scope::Whole,
        false => Scope::Domain(node.settings.failure_domain.clone()),
    };
    let is_narrow = scope != Scope::Whole;
    let longest_wait = wait(&scope);
    let Some(answer) = node
        .clock
        .discard_if_paused(exchange(node, delegate, scope))
        .await
    else {
        log::info!(delegate:%; "answer of a delegate not believed, the process was paused meanwhile");
        return false;
    };
    let update = match answer {
        Ok(update) => update,
        Err(why) => {
            log::info!(delegate:%, why:%; "delegate not followed");
            return false;
        }
    };
    let is_fresh = update.is_fresh(FRESH);
    if !is_fresh {
        let age = update.age;
        log::info!(delegate:%, age:?; "delegate has not read the store lately");
    }
    // An answer that lay here while the process was paused is older than it seems.
    let told_at = Instant::now().min(asked_at + longest_wait);
    view::take_told(node, update, told_at, is_narrow);
    is_fresh
}

/// Asks a host for what this one does not know.
pub(super) async fn exchange(
    node: &Node,
    delegate: SocketAddr,
    scope: Scope,
) -> Result<Update, Error> {
    let lists = &node.view.lists;
    let upstreams = lists.of(List::Upstreams);
    // What is known of another scope is no part of what is asked for.
    let is_same_scope = node.view.is_narrow() == (scope != Scope::Whole);
    let wait = wait(&scope);
    let ask = Ask {
        config: node.view.config().map(|config| config.version),
        scope,
        upstreams: upstreams.position().filter(|_| is_same_scope),
        settled: upstreams.settled(),
        hosts: lists.of(List::Hosts).position(),
        quarantine: lists.of(List::Quarantine).position(),
        evacuations: lists.evacuations.position(),
    };
    let body = Bytes::from(message::encode(&ask)?);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    let now = Instant::now();
    let until = Deadlines {
        connect: now + CONNECT_TIMEOUT,
        response: now + wait + ANSWER_TIMEOUT,
    };
    let (answer, _guard) = exchange::send(delegate, request, until).await?;
    let status = answer.status();
    let body = exchange::read_body(answer.into_body(), MAX_ANSWER, STALL_TIMEOUT).await?;
    if !status.is_success() {
        return Err(Error::Status(status.as_u16()));
    }
    Ok(message::decode(&body)?)
}
