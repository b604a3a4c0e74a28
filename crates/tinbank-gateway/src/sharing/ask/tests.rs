//! Asks at an allocator whose datagrams come late, twice or not at all.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tinbank_allocator::{
    directory::Peer,
    frame::{Answer, Frame, Grant, MAX_BYTES, Queue, Verdict},
    lease::{self, Class},
};
use tinbank_allowance::Tolerance;
use tokio::{net::UdpSocket, task, time};

use super::Answered;
use crate::sharing::{Sharing, SlotSpec, receive};

/// Long enough for a datagram to a host on the same machine.
const SHORT: Duration = Duration::from_millis(60);

/// A host that asks, and the socket of the allocator that it asks.
struct Setting {
    sharing: Rc<Sharing>,
    allocator: UdpSocket,
}

impl Setting {
    async fn new() -> Self {
        let own = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own_address = own.local_addr().unwrap();
        drop(own);
        let allocator = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own = peer(own_address, "south");
        let sharing = Rc::new(Sharing::bind(own, 1, Tolerance::default()).await.unwrap());
        sharing.set_hosts(vec![peer(allocator.local_addr().unwrap(), "north")]);
        task::spawn_local(receive(Rc::clone(&sharing), |_, _| {}));
        Self { sharing, allocator }
    }

    /// The next datagram of a kind, or nothing if there is none for a while.
    async fn next<T>(&self, is_it: impl Fn(Frame) -> Option<T>) -> Option<(T, SocketAddr)> {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            let received = time::timeout(SHORT, self.allocator.recv_from(&mut buffer)).await;
            let (length, from) = received.ok()?.unwrap();
            if let Some(it) = is_it(Frame::decode(&buffer[..length]).unwrap()) {
                return Some((it, from));
            }
        }
    }

    async fn answer(&self, to: SocketAddr, lease: lease::Id, verdict: Verdict) {
        let frame = Frame::Answer(Answer { lease, verdict });
        let bytes = frame.encode().unwrap();
        self.allocator.send_to(&bytes, to).await.unwrap();
    }
}

fn peer(address: SocketAddr, failure_domain: &str) -> Peer {
    Peer {
        address,
        callers: address,
        failure_domain: failure_domain.to_owned(),
        capacity: Default::default(),
    }
}

fn grant() -> Verdict {
    Verdict::Granted(Grant {
        upstream: "u1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        queued: false,
    })
}

fn ask(frame: Frame) -> Option<lease::Id> {
    match frame {
        Frame::Ask(ask) => Some(ask.lease),
        _ => None,
    }
}

fn release(frame: Frame) -> Option<lease::Id> {
    match frame {
        Frame::Release(release) => Some(release.lease),
        _ => None,
    }
}

fn withdrawal(frame: Frame) -> Option<lease::Id> {
    match frame {
        Frame::Withdraw(lease) => Some(lease),
        _ => None,
    }
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, test);
}

/// Asks in the background, and tells what came of it.
fn asks(setting: &Setting, queue: Queue) -> task::JoinHandle<Answered> {
    let sharing = Rc::clone(&setting.sharing);
    task::spawn_local(async move {
        let wanted = SlotSpec {
            class: Class::Online,
            service: "notes",
            exclude: &[],
            queue,
            rank: 0,
            meter: None,
        };
        sharing.ask_once(&wanted, "north", queue).await
    })
}

#[test]
fn an_answer_that_comes_twice_ends_no_lease_in_use() {
    play(async {
        let setting = Setting::new().await;
        let asked = asks(&setting, Queue::No);
        let (lease, host) = setting.next(ask).await.unwrap();

        setting.answer(host, lease, grant()).await;
        let granted = asked.await.unwrap();
        setting.answer(host, lease, grant()).await;

        assert!(matches!(granted, Answered::Granted(_)));
        assert_eq!(setting.next(release).await, None);
    });
}

#[test]
fn a_slot_that_comes_when_nobody_waits_any_more_goes_back() {
    play(async {
        let setting = Setting::new().await;
        let asked = asks(&setting, Queue::No);
        let (lease, host) = setting.next(ask).await.unwrap();
        asked.abort();
        time::sleep(SHORT).await;

        setting.answer(host, lease, grant()).await;

        let (released, _) = setting.next(release).await.unwrap();
        assert_eq!(released, lease);
    });
}

#[test]
fn a_request_that_waits_is_granted_the_slot_that_comes_free() {
    play(async {
        let setting = Setting::new().await;
        let asked = asks(&setting, Queue::Within(2_000));
        let (lease, host) = setting.next(ask).await.unwrap();
        setting.answer(host, lease, Verdict::Waiting).await;
        time::sleep(2 * SHORT).await;

        setting.answer(host, lease, grant()).await;

        assert!(matches!(asked.await.unwrap(), Answered::Granted(_)));
    });
}

#[test]
fn a_caller_that_leaves_while_it_waits_is_taken_out_at_the_allocator() {
    play(async {
        let setting = Setting::new().await;
        let asked = asks(&setting, Queue::Within(2_000));
        let (lease, host) = setting.next(ask).await.unwrap();
        setting.answer(host, lease, Verdict::Waiting).await;
        time::sleep(SHORT).await;

        asked.abort();

        let (withdrawn, _) = setting.next(withdrawal).await.unwrap();
        assert_eq!(withdrawn, lease);
    });
}

#[test]
fn a_request_whose_time_is_up_is_taken_out_at_the_allocator() {
    play(async {
        let setting = Setting::new().await;
        let asked = asks(&setting, Queue::Within(100));
        let (lease, host) = setting.next(ask).await.unwrap();
        setting.answer(host, lease, Verdict::Waiting).await;

        assert!(matches!(asked.await.unwrap(), Answered::TimeUp));
        let (withdrawn, _) = setting.next(withdrawal).await.unwrap();
        assert_eq!(withdrawn, lease);
    });
}
