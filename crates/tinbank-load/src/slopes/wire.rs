//! Bytes on the wire of what is asked of the platform again and again: counted by a relay between the real adapters and the
//! stand-ins, both ways, the headers of HTTP included and those of TCP and IP not.

use std::net::{Ipv4Addr, SocketAddr};

use tinbank_base::platform::{
    hosts::Hosts as _,
    upstream::{Target, Upstreams as _},
};
use tinbank_platform::{hosts, upstream};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::oneshot,
    task::{JoinHandle, JoinSet},
};

use super::{Series, point, processes::World};

const CALLS: [usize; 3] = [10, 20, 40];

/// Load reports of an engine with one artifact.
pub(super) fn reports() -> Series {
    let points = CALLS.iter().map(|calls| {
        let bytes = counted(
            |world| world.engine(),
            async |address| {
                let engines = upstream::Http::new();
                let target = Target {
                    upstream: 1,
                    address,
                };
                for _ in 0..*calls {
                    engines.report(target).await.expect("the engine answers");
                }
            },
        );
        point(*calls, bytes)
    });
    Series::new(
        "report wire bytes",
        "load report asked for",
        "bytes both ways, without headers of TCP and IP",
        points.collect(),
    )
}

/// Readings of a host list that has not changed.
pub(super) fn unchanged_lists() -> Series {
    let points = CALLS.iter().map(|calls| {
        let bytes = counted(
            |world| world.hosts(),
            async |address| {
                let hosts = hosts::Http::new(address);
                let list = hosts.list().await.expect("the list can be read");
                for _ in 0..*calls {
                    let changed = hosts.changed(Some(list.version)).await;
                    assert_eq!(changed, Ok(None), "nobody changes the list");
                }
            },
        );
        point(*calls, bytes)
    });
    Series::new(
        "host list wire bytes",
        "reading of an unchanged list",
        "bytes both ways, without headers of TCP and IP",
        points.collect(),
    )
}

/// Bytes that pass between `work` and one of the stand-ins.
fn counted(target: impl Fn(&World) -> SocketAddr, work: impl AsyncFnOnce(SocketAddr)) -> f64 {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system gives a thread");
    runtime.block_on(async {
        let world = World::start(1).await;
        let relay = Relay::start(target(&world)).await;
        work(relay.address).await;
        // The adapter is gone, so its connections close and the counts are whole.
        let bytes = relay.stop().await;
        world.stop().await;
        bytes as f64
    })
}

/// Passes connections on and counts.
struct Relay {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<u64>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(pass_on(listener, to, stopped));
        Self {
            address,
            stop,
            task,
        }
    }

    async fn stop(self) -> u64 {
        // It ends only here.
        let _ = self.stop.send(());
        self.task.await.expect("the relay runs")
    }
}

async fn pass_on(listener: TcpListener, to: SocketAddr, stopped: oneshot::Receiver<()>) -> u64 {
    let mut stopped = stopped;
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((from, _)) = listener.accept() => { connections.spawn(pass_one(from, to)); }
            _ = &mut stopped => break,
        }
    }
    connections.join_all().await.into_iter().sum()
}

async fn pass_one(mut from: TcpStream, to: SocketAddr) -> u64 {
    let mut to = TcpStream::connect(to).await.expect("the stand-in listens");
    let (there, back) = copy_bidirectional(&mut from, &mut to)
        .await
        .unwrap_or_default();
    there + back
}
