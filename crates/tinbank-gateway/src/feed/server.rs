//! Tells other hosts what this one knows of the lists.

use std::{
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tinbank_allocator::directory::Peer;
use tinbank_base::id;
use tinbank_feed::{
    history::{self, Found},
    message::{self, Ask, Part, Scope, Snapshot, Update},
    source::FRESH,
};
use tinbank_relay::upstream::Upstream;
use tokio::{net::TcpListener, task, time};

use crate::{
    border::{Body, full_body, store::List},
    node::Node,
    serve::accept,
    view::{Mark, View},
};

/// How long an answer to a follower waits for news.
const FOLLOWER_WAIT: Duration = Duration::from_millis(1_000);
/// How long it waits where the asking host tells others in its turn, so that what it says is not much older.
const DELEGATE_WAIT: Duration = Duration::from_millis(250);
/// Largest question in bytes.
const ASK_BYTES: usize = 512;
/// How long the head of a question may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers for as long as the process runs.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    accept(listener, |stream, peer| {
        let node = Rc::clone(&node);
        task::spawn_local(async move {
            let service = service_fn(|request| answer(Rc::clone(&node), request));
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(peer:%, error:%; "connection of a follower ended");
            }
        });
    })
    .await;
}

async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let ask = match Limited::new(request.into_body(), ASK_BYTES).collect().await {
        Ok(body) => message::decode::<Ask>(&body.to_bytes()).map_err(|it| it.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let told = match ask {
        Ok(ask) => {
            news(&node, &ask).await;
            message::encode(&update(&node, &ask, Instant::now())).map_err(|it| it.to_string())
        }
        Err(error) => Err(error),
    };
    Ok(match told {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            log::warn!(error:%; "question of a follower not answered");
            let mut answer = Response::new(full_body(error));
            *answer.status_mut() = StatusCode::BAD_REQUEST;
            answer
        }
    })
}

/// Waits until there is something that the other host does not know, for a while. A host that has not read the store
/// lately has nothing to wait for; one that has just started is about to read it.
async fn news(node: &Node, ask: &Ask) {
    let until = Instant::now() + wait(&ask.scope);
    while !has_news(node, ask) && !is_stale(node) {
        let refreshed = time::timeout_at(until.into(), node.view.refreshed());
        if refreshed.await.is_err() {
            return;
        }
    }
}

/// How long an answer waits for news.
pub(super) fn wait(scope: &Scope) -> Duration {
    match scope {
        Scope::Whole => DELEGATE_WAIT,
        Scope::Domain(_) | Scope::Hosts => FOLLOWER_WAIT,
    }
}

fn has_news(node: &Node, ask: &Ask) -> bool {
    let view = &node.view;
    let version = view.config().map(|config| config.version);
    let has_hosts = view.lists.of(List::Hosts).has_news_for(ask.hosts);
    if ask.scope == Scope::Hosts {
        return has_hosts;
    }
    view.is_known()
        && (version > ask.config
            || has_hosts
            || has_upstreams(node, ask)
            || view.lists.of(List::Quarantine).has_news_for(ask.quarantine)
            || view.lists.evacuations.has_news_for(ask.evacuations))
}

/// True if there are changes among the upstreams that the asking host wants to hear of.
fn has_upstreams(node: &Node, ask: &Ask) -> bool {
    let mark = node.view.lists.of(List::Upstreams);
    if mark.settled() > ask.settled {
        return true;
    }
    if !mark.has_news_for(ask.upstreams) {
        return false;
    }
    let part = upstreams(&node.view, ask);
    part.is_some_and(|it| it.is_whole || !it.entries.is_empty() || !it.gone.is_empty())
}

fn is_stale(node: &Node) -> bool {
    let ages = node.view.age(Instant::now());
    let ages = [ages.config, ages.upstreams];
    ages.iter().flatten().any(|age| *age > FRESH)
}

fn update(node: &Node, ask: &Ask, now: Instant) -> Update {
    let view = &node.view;
    let lists = &view.lists;
    if ask.scope == Scope::Hosts {
        return Update {
            hosts: hosts(view, ask),
            ..Update::default()
        };
    }
    let config = view.config().filter(|it| Some(it.version) > ask.config);
    let mut age = view.age(now);
    let is_own = |domain| domain == &node.settings.failure_domain;
    let knows_all = !view.is_own_domain_only() || matches!(&ask.scope, Scope::Domain(it) if is_own(it));
    if !knows_all {
        age.upstreams = None;
    }
    Update {
        config: config.map(|it| (*it).clone()),
        upstreams: upstreams(view, ask).filter(|_| knows_all),
        settled: lists.of(List::Upstreams).settled().filter(|_| knows_all),
        hosts: hosts(view, ask),
        quarantine: snapshot(lists.of(List::Quarantine), ask.quarantine, || {
            node.quarantine.listed()
        }),
        evacuations: snapshot(&lists.evacuations, ask.evacuations, || view.evacuated()),
        age,
    }
}

/// What the asking host lacks of the upstreams.
fn upstreams(view: &View, ask: &Ask) -> Option<Part<Upstream, id::Instance>> {
    let position = view.lists.of(List::Upstreams).position()?;
    let scope = &ask.scope;
    let history = view.lists.changed_upstreams.borrow();
    history.part(ask.upstreams, position, &Upstreams { view, scope })
}

/// What the asking host lacks of the hosts.
fn hosts(view: &View, ask: &Ask) -> Option<Part<Peer, SocketAddr>> {
    let position = view.lists.of(List::Hosts).position()?;
    let history = view.lists.changed_hosts.borrow();
    history.part(ask.hosts, position, &Hosts { view })
}

/// The upstreams that a host wants to hear of.
struct Upstreams<'a> {
    view: &'a View,
    scope: &'a Scope,
}

impl Upstreams<'_> {
    fn covers(&self, upstream: &Upstream) -> bool {
        match self.scope {
            Scope::Whole => true,
            Scope::Domain(domain) => upstream.failure_domain == *domain,
            Scope::Hosts => false,
        }
    }
}

impl history::List<Upstream, id::Instance> for Upstreams<'_> {
    fn all(&self) -> Vec<Upstream> {
        let mut all = self.view.present();
        all.retain(|it| self.covers(it));
        all
    }

    fn find(&self, instance: &id::Instance) -> Found<Upstream> {
        match self.view.upstream(instance) {
            Some(upstream) if self.covers(&upstream) => Found::Wanted(upstream),
            Some(_) => Found::NotWanted,
            None => Found::Gone,
        }
    }
}

/// All hosts.
struct Hosts<'a> {
    view: &'a View,
}

impl history::List<Peer, SocketAddr> for Hosts<'_> {
    fn all(&self) -> Vec<Peer> {
        self.view.hosts()
    }

    fn find(&self, address: &SocketAddr) -> Found<Peer> {
        let host = self.view.host(*address);
        host.map_or(Found::Gone, Found::Wanted)
    }
}

fn snapshot<T>(
    mark: &Mark,
    known: Option<message::Position>,
    entries: impl FnOnce() -> Vec<T>,
) -> Option<Snapshot<T>> {
    let position = mark.position().filter(|_| mark.has_news_for(known))?;
    let entries = entries();
    Some(Snapshot { position, entries })
}
