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
use tinbank_feed::{
    history::{self, Lookup},
    message::{self, Age, Delta, Scope, Snapshot, Update, UpdateRequest},
    source::MAX_AGE,
};
use tokio::{net::TcpListener, task, time};

use crate::{
    border::{Body, full_body},
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
        Ok(request) if request.scope == Scope::Contact => {
            let contact = node.view.replica().contact(Instant::now());
            message::encode(&contact).map_err(|it| it.to_string())
        }
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
        Scope::Contact => Duration::ZERO,
    }
}

fn has_update(node: &Node, request: &UpdateRequest) -> bool {
    let view = &node.view;
    let version = view.config().map(|config| config.version);
    let has_hosts = view.lists.hosts.has_changes_since(request.hosts);
    if request.scope == Scope::Hosts {
        return has_hosts;
    }
    view.is_known()
        && (version > request.config
            || has_hosts
            || view.replica().has_changes(request)
            || view.lists.quarantine.has_changes_since(request.quarantine)
            || view.lists.builds.has_changes_since(request.builds)
            || view
                .lists
                .evacuations
                .has_changes_since(request.evacuations))
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
    let age = view.age(now);
    let mut update = Update {
        config: config.map(|it| (*it).clone()),
        hosts: hosts(view, request),
        quarantine: snapshot(&lists.quarantine, request.quarantine, || {
            node.quarantine.stored()
        }),
        builds: snapshot(&lists.builds, request.builds, || {
            node.origins.builds.history().entries()
        }),
        evacuations: snapshot(&lists.evacuations, request.evacuations, || view.evacuated()),
        age: Age {
            config: age.config,
            upstreams: None,
        },
        ..Update::default()
    };
    view.replica()
        .fill_update(request, age.upstreams, &mut update, now);
    update
}

/// Returns the changes to the hosts.
fn hosts(view: &View, request: &UpdateRequest) -> Option<Delta<Peer, SocketAddr>> {
    let position = view.lists.hosts.position()?;
    let history = view.lists.changed_hosts.borrow();
    history.delta(request.hosts, position, &Hosts { view })
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
