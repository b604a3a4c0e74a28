//! Serves updates of the lists to followers.

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
    history::{self, Lookup},
    message::{self, Delta, Scope, Snapshot, Update, UpdateRequest},
    source::MAX_AGE,
};
use tinbank_relay::upstream::Upstream;
use tokio::{net::TcpListener, task, time};

use crate::{
    border::{Body, full_body, store::List},
    node::Node,
    serve::accept,
    view::{View, Watermark},
};

/// How long a response to a follower is delayed until there is an update.
const FOLLOWER_WAIT: Duration = Duration::from_millis(1_000);
/// The same for another delegate, which serves followers of its own: short, so that their updates are not much older.
const DELEGATE_WAIT: Duration = Duration::from_millis(250);
/// Largest accepted request in bytes.
const MAX_REQUEST: usize = 512;
/// Timeout of the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves followers for as long as the process runs.
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
                log::debug!(peer:%, error:%; "connection of a follower failed");
            }
        });
    })
    .await;
}

async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let update_request = match Limited::new(request.into_body(), MAX_REQUEST)
        .collect()
        .await
    {
        Ok(body) => message::decode::<UpdateRequest>(&body.to_bytes()).map_err(|it| it.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let response = match update_request {
        Ok(request) => {
            wait_for_update(&node, &request).await;
            message::encode(&update(&node, &request, Instant::now())).map_err(|it| it.to_string())
        }
        Err(error) => Err(error),
    };
    Ok(match response {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            log::warn!(error:%; "update request of a follower not answered");
            let mut answer = Response::new(full_body(error));
            *answer.status_mut() = StatusCode::BAD_REQUEST;
            answer
        }
    })
}

/// Delays a response until there is an update, up to the maximum wait. Responds at once if this host's reads are stale, since an
/// update is then unlikely; one that has just started is about to read the lists.
async fn wait_for_update(node: &Node, request: &UpdateRequest) {
    let until = Instant::now() + max_wait(&request.scope);
    while !has_update(node, request) && !is_stale(node) {
        let refreshed = time::timeout_at(until.into(), node.view.wait_for_refresh());
        if refreshed.await.is_err() {
            return;
        }
    }
}

/// Returns how long a response is delayed until there is an update.
pub(super) fn max_wait(scope: &Scope) -> Duration {
    match scope {
        Scope::Whole => DELEGATE_WAIT,
        Scope::Domain(_) | Scope::Hosts => FOLLOWER_WAIT,
    }
}

fn has_update(node: &Node, request: &UpdateRequest) -> bool {
    let view = &node.view;
    let version = view.config().map(|config| config.version);
    let has_hosts = view.lists.of(List::Hosts).has_changes_since(request.hosts);
    if request.scope == Scope::Hosts {
        return has_hosts;
    }
    view.is_known()
        && (version > request.config
            || has_hosts
            || has_upstream_changes(node, request)
            || view
                .lists
                .of(List::Quarantine)
                .has_changes_since(request.quarantine)
            || view
                .lists
                .evacuations
                .has_changes_since(request.evacuations))
}

/// Returns whether upstreams in the requested scope changed.
fn has_upstream_changes(node: &Node, request: &UpdateRequest) -> bool {
    let watermark = node.view.lists.of(List::Upstreams);
    if watermark.settled() > request.settled {
        return true;
    }
    if !watermark.has_changes_since(request.upstreams) {
        return false;
    }
    let delta = upstreams(&node.view, request);
    delta.is_some_and(|it| it.is_whole || !it.entries.is_empty() || !it.gone.is_empty())
}

fn is_stale(node: &Node) -> bool {
    let ages = node.view.age(Instant::now());
    let ages = [ages.config, ages.upstreams];
    ages.iter().flatten().any(|age| *age > MAX_AGE)
}

fn update(node: &Node, request: &UpdateRequest, now: Instant) -> Update {
    let view = &node.view;
    let lists = &view.lists;
    if request.scope == Scope::Hosts {
        return Update {
            hosts: hosts(view, request),
            ..Update::default()
        };
    }
    let config = view.config().filter(|it| Some(it.version) > request.config);
    let mut age = view.age(now);
    let is_own = |domain| domain == &node.settings.failure_domain;
    let knows_all =
        !view.is_own_domain_only() || matches!(&request.scope, Scope::Domain(it) if is_own(it));
    if !knows_all {
        age.upstreams = None;
    }
    Update {
        config: config.map(|it| (*it).clone()),
        upstreams: upstreams(view, request).filter(|_| knows_all),
        settled: lists.of(List::Upstreams).settled().filter(|_| knows_all),
        hosts: hosts(view, request),
        quarantine: snapshot(lists.of(List::Quarantine), request.quarantine, || {
            node.quarantine.stored()
        }),
        evacuations: snapshot(&lists.evacuations, request.evacuations, || view.evacuated()),
        age,
    }
}

/// Returns the changes to the upstreams in the requested scope.
fn upstreams(view: &View, request: &UpdateRequest) -> Option<Delta<Upstream, id::Instance>> {
    let position = view.lists.of(List::Upstreams).position()?;
    let scope = &request.scope;
    let history = view.lists.changed_upstreams.borrow();
    history.delta(request.upstreams, position, &Upstreams { view, scope })
}

/// Returns the changes to the hosts.
fn hosts(view: &View, request: &UpdateRequest) -> Option<Delta<Peer, SocketAddr>> {
    let position = view.lists.of(List::Hosts).position()?;
    let history = view.lists.changed_hosts.borrow();
    history.delta(request.hosts, position, &Hosts { view })
}

/// The upstreams, limited to a scope.
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

    fn find(&self, instance: &id::Instance) -> Lookup<Upstream> {
        match self.view.upstream(instance) {
            Some(upstream) if self.covers(&upstream) => Lookup::InScope(upstream),
            Some(_) => Lookup::OutOfScope,
            None => Lookup::Missing,
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

    fn find(&self, address: &SocketAddr) -> Lookup<Peer> {
        let host = self.view.host(*address);
        host.map_or(Lookup::Missing, Lookup::InScope)
    }
}

fn snapshot<T>(
    watermark: &Watermark,
    known: Option<message::Position>,
    entries: impl FnOnce() -> Vec<T>,
) -> Option<Snapshot<T>> {
    let position = watermark
        .position()
        .filter(|_| watermark.has_changes_since(known))?;
    let entries = entries();
    Some(Snapshot { position, entries })
}
