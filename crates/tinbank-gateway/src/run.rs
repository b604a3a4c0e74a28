//! Starts the process and runs it until it is asked to stop.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::Response;
use tinbank_allocator::{directory::Peer, frame::Frame};
use tokio::{
    net::TcpListener,
    task::{self, LocalSet},
    time::{self, MissedTickBehavior},
};

use crate::{
    batch,
    border::{
        engine::Engine,
        full_body,
        ingress::Ingress,
        store::{List, Store},
    },
    clock::CHECK_INTERVAL,
    feed, identity,
    node::Node,
    origin, overload, quarantine, readiness,
    relay::read_ahead::read_ahead,
    serve,
    settings::Settings,
    sharing::{self, Sharing},
    view,
};

/// How long a call to register or unregister the host may take.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a starting host waits for the list of hosts before it registers. A host that is listed already does not write,
/// because all delegates read each entry.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why the process can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket can't be bound to its address.
    #[error("can't listen at {address} for {what}: {source}")]
    Listen {
        /// What the address is for.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Implementations of the traits that abstract the platform.
pub struct Platform {
    /// The store.
    pub store: Rc<dyn Store>,
    /// Codec for calls of callers.
    pub ingress: Rc<dyn Ingress>,
    /// Codec for requests to upstreams.
    pub engine: Rc<dyn Engine>,
}

/// Function that renders the metrics of the process.
pub type Metrics = Rc<dyn Fn() -> String>;

/// Runs the process until `stop` resolves and its work is done.
pub async fn run(
    settings: Settings,
    platform: Platform,
    metrics: Metrics,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let tasks = LocalSet::new();
    tasks
        .run_until(run_node(settings, platform, metrics, stop))
        .await
}

async fn run_node(
    settings: Settings,
    platform: Platform,
    metrics: Metrics,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let listen = settings.listen;
    let callers = bind("callers", listen.callers).await?;
    let readiness = bind("readiness checks", listen.readiness).await?;
    if let Some(address) = listen.metrics {
        let listener = bind("metrics", address).await?;
        let render = move || Response::new(full_body(metrics()));
        task::spawn_local(serve::serve_endpoint(listener, Rc::new(render)));
    }
    let own = Peer {
        address: listen.peers,
        callers: listen.callers,
        failure_domain: settings.failure_domain.clone(),
        capacity: settings.capacity,
    };
    let followers = bind("hosts that follow this one", listen.peers).await?;
    let sharing = Sharing::bind(
        own,
        identity::random_id(),
        settings.allowance,
        settings.scheduling.into(),
    )
    .await;
    let sharing = sharing.map_err(|source| Error::Listen {
        what: "datagrams of other hosts",
        address: listen.peers,
        source,
    })?;
    log::info!(host:% = settings.host, callers:% = listen.callers; "started");
    let Platform {
        store,
        ingress,
        engine,
    } = platform;
    let node = Node::new(settings, store, ingress, engine, Rc::new(sharing));
    let node = Rc::new(node);
    spawn_tasks(&node, callers, readiness);
    task::spawn_local(feed::serve(Rc::clone(&node), followers));
    stop.await;
    let leave = task::spawn_local({
        let node = Rc::clone(&node);
        let work = crate::stop::track_work(&node);
        async move {
            let _work = work;
            batch::leave(&node).await;
            unregister(&node).await;
        }
    });
    crate::stop::shut_down(Rc::clone(&node)).await;
    leave.abort();
    Ok(())
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Listen {
        what,
        address,
        source,
    })
}

fn spawn_tasks(node: &Rc<Node>, callers: TcpListener, readiness: TcpListener) {
    task::spawn_local(serve::serve_callers(Rc::clone(node), callers));
    let checked = Rc::clone(node);
    let respond = move || serve::readiness_response(&checked);
    task::spawn_local(serve::serve_endpoint(readiness, Rc::new(respond)));
    let receiver = Rc::clone(node);
    let on_other = move |from, frame| on_frame(&receiver, from, frame);
    task::spawn_local(sharing::receive(Rc::clone(&node.sharing), on_other));
    task::spawn_local(sharing::heartbeat(Rc::clone(node)));
    task::spawn_local(readiness::report(Rc::clone(node)));
    task::spawn_local(sharing::broadcast_counts(Rc::clone(&node.sharing)));
    if node.settings.scheduling.shed_load {
        task::spawn_local(overload::watch(Rc::clone(node)));
    }
    if node.settings.scheduling.share_room {
        task::spawn_local(sharing::broadcast_room(Rc::clone(&node.sharing)));
    }
    task::spawn_local(feed::follow(Rc::clone(node)));
    task::spawn_local(feed::confirm_contact(Rc::clone(node)));
    task::spawn_local(feed::register_first_delegate(Rc::clone(node)));
    task::spawn_local(sharing::poll_upstream_load(Rc::clone(node)));
    let lists = [
        List::Config,
        List::Upstreams,
        List::Hosts,
        List::Quarantine,
        List::Builds,
    ];
    for list in lists {
        task::spawn_local(view::follow(Rc::clone(node), list));
    }
    task::spawn_local(quarantine::write_to_store(Rc::clone(node)));
    task::spawn_local(quarantine::broadcast(Rc::clone(node)));
    task::spawn_local(origin::refresh(Rc::clone(node)));
    task::spawn_local(origin::write_to_store(Rc::clone(node)));
    batch::start(node);
    task::spawn_local(read_ahead(Rc::clone(node)));
    task::spawn_local(keep_registered(Rc::clone(node)));
    task::spawn_local(check_for_pauses(Rc::clone(node)));
}

/// Handles a frame of another host that is not about slots.
fn on_frame(node: &Node, from: SocketAddr, frame: Frame) {
    match frame {
        Frame::Quarantine(update) => quarantine::apply_update(node, from, update),
        Frame::Origins(reports) => origin::apply_reports(node, reports),
        Frame::OriginQuery(query) => origin::answer_query(node, from, query),
        Frame::OriginReply(reply) => origin::apply_reply(node, from, reply),
        _ => {}
    }
}

/// Registers the host, so that others request slots from it, and registers it again whenever its entry disappears: the store
/// may apply the unregister call of an earlier start seconds late, after the host has restarted.
async fn keep_registered(node: Rc<Node>) {
    node.view
        .wait_for_hosts(Instant::now() + HOST_LIST_TIMEOUT)
        .await;
    while !node.stop.is_stopping() {
        if node.view.is_listed(node.sharing.own()) {
            node.view
                .wait_until_deregistered(node.sharing.own(), Instant::now())
                .await;
            continue;
        }
        let until = Instant::now() + REGISTER_TIMEOUT;
        match node.store.register(node.sharing.own(), until).await {
            Ok(()) => {
                node.view
                    .wait_until_deregistered(node.sharing.own(), Instant::now())
                    .await
            }
            Err(error) => {
                log::info!(error:%; "host not registered; retrying");
                node.retry.backoff().await;
            }
        }
    }
}

async fn unregister(node: &Node) {
    let until = Instant::now() + REGISTER_TIMEOUT;
    match node.store.unregister(node.sharing.own(), until).await {
        Ok(()) => log::info!("host unregistered"),
        Err(error) => {
            log::warn!(error:%; "host not unregistered; others will find it unresponsive")
        }
    }
}

/// Checks periodically whether the process was paused.
async fn check_for_pauses(node: Rc<Node>) {
    let mut ticks = time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.check_for_pause();
    }
}
