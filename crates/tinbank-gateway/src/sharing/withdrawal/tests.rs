//! Tests that the permission to withdraw reaches an overloaded host over the network.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{Options, directory::Peer};
use tinbank_allowance::Tolerance;
use tokio::{net::UdpSocket, task, time};
use yare::parameterized;

use crate::sharing::{Sharing, receive};

/// Longer than the datagrams take on the local machine.
const DELIVERY_TIME: Duration = Duration::from_millis(60);

fn peer(address: SocketAddr, failure_domain: &str) -> Peer {
    Peer {
        address,
        callers: address,
        failure_domain: failure_domain.to_owned(),
        capacity: Default::default(),
    }
}

async fn host(failure_domain: &str) -> Rc<Sharing> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own = peer(socket.local_addr().unwrap(), failure_domain);
    drop(socket);
    let sharing = Sharing::bind(own, 1, Tolerance::default(), Options::default()).await;
    let sharing = Rc::new(sharing.unwrap());
    task::spawn_local(receive(Rc::clone(&sharing), |_, _| {}));
    sharing
}

/// A permission that is lost on the way would leave each host in rotation whatever its overload; one that a host gets unasked
/// would let all withdraw.
#[parameterized(
    overloaded = { true },
    not_overloaded = { false },
)]
fn only_a_host_that_reports_its_overload_is_permitted_to_withdraw(is_overloaded: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async {
        let hosts = [host("north").await, host("north").await];
        let listed = hosts.iter().map(|it| it.own().clone());
        let listed: Vec<Peer> = listed.collect();
        for host in &hosts {
            host.set_hosts(listed.clone());
        }
        let is_allocator = |it: &&Rc<Sharing>| it.is_allocator(Instant::now());
        let other = hosts.iter().find(|it| !is_allocator(it)).unwrap();

        // A socket sends nothing before it was polled.
        time::sleep(DELIVERY_TIME).await;

        if is_overloaded {
            other.report_overload(true, Instant::now());
        }
        other.send_holdings(Instant::now());
        time::sleep(DELIVERY_TIME).await;

        assert_eq!(other.may_withdraw(Instant::now()), is_overloaded);
    });
}
