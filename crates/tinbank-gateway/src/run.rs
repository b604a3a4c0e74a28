//! Starts the process and runs it until it is told to stop.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::Response;
use tinbank_allocator::directory::Peer;
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
    clock::TICK,
    feed, identity,
    node::Node,
    quarantine, serve,
    settings::Settings,
    sharing::{self, Sharing},
    view,
};

/// How long a call to register the host may take.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a host that starts waits for the list of hosts before it registers. One that is listed already does not write:
/// each entry is read by all delegates.
const FIRST_LIST: Duration = Duration::from_secs(3);

/// The process can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be listened at.
    #[error("can't listen at {address} for {what}: {source}")]
    Listen {
        /// What the address is for.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// The platform as the process sees it.
pub struct Platform {
    /// Its store.
    pub store: Rc<dyn Store>,
    /// Calls of callers.
    pub ingress: Rc<dyn Ingress>,
    /// Requests to upstreams.
    pub engine: Rc<dyn Engine>,
}

/// Renders the metrics of the process.
pub type Metrics = Rc<dyn Fn() -> String>;

/// Runs the process from now until `stop` is ready and its work is done.
pub async fn run(
    settings: Settings,
    platform: Platform,
    metrics: Metrics,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let tasks = LocalSet::new();
    tasks
        .run_until(serve(settings, platform, metrics, stop))
        .await
}

async fn serve(
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
        task::spawn_local(serve::always(listener, Rc::new(render)));
    }
    let own = Peer {
        address: listen.peers,
        callers: listen.callers,
        failure_domain: settings.failure_domain.clone(),
        capacity: settings.capacity,
    };
    let followers = bind("hosts that follow this one", listen.peers).await?;
    let sharing = Sharing::bind(own, identity::random_id(), settings.allowance).await;
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
    start(&node, callers, readiness);
    task::spawn_local(feed::serve(Rc::clone(&node), followers));
    stop.await;
    let left = task::spawn_local({
        let node = Rc::clone(&node);
        let work = crate::stop::work(&node);
        async move {
            let _work = work;
            batch::leave(&node).await;
            unregister(&node).await;
        }
    });
    crate::stop::stop(Rc::clone(&node)).await;
    left.abort();
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

fn start(node: &Rc<Node>, callers: TcpListener, readiness: TcpListener) {
    task::spawn_local(serve::callers(Rc::clone(node), callers));
    let checked = Rc::clone(node);
    let is_ready = move || serve::readiness(&checked);
    task::spawn_local(serve::always(readiness, Rc::new(is_ready)));
    let told = Rc::clone(node);
    let news = move |from, news| quarantine::apply_update(&told, from, news);
    task::spawn_local(sharing::receive(Rc::clone(&node.sharing), news));
    task::spawn_local(sharing::heartbeat(Rc::clone(node)));
    task::spawn_local(sharing::broadcast_counts(Rc::clone(&node.sharing)));
    task::spawn_local(feed::follow(Rc::clone(node)));
    task::spawn_local(feed::register_first_delegate(Rc::clone(node)));
    task::spawn_local(sharing::poll_upstream_load(Rc::clone(node)));
    for list in [List::Config, List::Upstreams, List::Hosts, List::Quarantine] {
        task::spawn_local(view::follow(Rc::clone(node), list));
    }
    task::spawn_local(quarantine::write_to_store(Rc::clone(node)));
    task::spawn_local(quarantine::broadcast(Rc::clone(node)));
    batch::start(node);
    task::spawn_local(register(Rc::clone(node)));
    task::spawn_local(watch(Rc::clone(node)));
}

/// Registers the host, so that others ask it for slots, and again if its entry is taken off the list: when a host stops, the
/// store may do what it asked for seconds later, when the host has already started again.
async fn register(node: Rc<Node>) {
    node.view.wait_for_hosts(Instant::now() + FIRST_LIST).await;
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
                log::info!(error:%; "host not registered yet");
                node.retry.backoff().await;
            }
        }
    }
}

async fn unregister(node: &Node) {
    let until = Instant::now() + REGISTER_TIMEOUT;
    match node.store.unregister(node.sharing.own(), until).await {
        Ok(()) => log::info!("host unregistered"),
        Err(error) => log::warn!(error:%; "host not unregistered, others will find it silent"),
    }
}

/// Looks for pauses of the process while nothing else does.
async fn watch(node: Rc<Node>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.check_for_pause();
    }
}
