//! Tests slot requests to an allocator whose datagrams are delayed, duplicated or lost.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tinbank_allocator::{
    Options,
    directory::Peer,
    frame::{
        Denial, Frame, Grant, MAX_DATAGRAM_BYTES, Queue, Room, RoomReport, ServiceRoom,
        SlotResponse, Verdict,
    },
    lease::{self, Class},
    size::Size,
};
use tinbank_allowance::Tolerance;
use tokio::{net::UdpSocket, task, time};
use yare::parameterized;

use super::SlotResult;
use crate::sharing::{Sharing, SlotSpec, receive};

/// Longer than a datagram takes on the local machine.
const DELIVERY_TIME: Duration = Duration::from_millis(60);

/// A host that requests slots, and the socket of the allocator that it requests them from.
struct Fixture {
    sharing: Rc<Sharing>,
    allocator: UdpSocket,
}

impl Fixture {
    async fn new() -> Self {
        Self::with_options(Options::default()).await
    }

    async fn with_options(options: Options) -> Self {
        let own = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own_address = own.local_addr().unwrap();
        drop(own);
        let allocator = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own = peer(own_address, "south");
        let sharing = Rc::new(
            Sharing::bind(own, 1, Tolerance::default(), options)
                .await
                .unwrap(),
        );
        sharing.set_hosts(vec![peer(allocator.local_addr().unwrap(), "north")]);
        task::spawn_local(receive(Rc::clone(&sharing), |_, _| {}));
        Self { sharing, allocator }
    }

    /// Returns the next datagram that `select` accepts, or `None` if none arrives in time.
    async fn next<T>(&self, select: impl Fn(Frame) -> Option<T>) -> Option<(T, SocketAddr)> {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let received =
                time::timeout(DELIVERY_TIME, self.allocator.recv_from(&mut buffer)).await;
            let (length, from) = received.ok()?.unwrap();
            if let Some(it) = select(Frame::decode(&buffer[..length]).unwrap()) {
                return Some((it, from));
            }
        }
    }

    async fn answer(&self, to: SocketAddr, lease: lease::Id, verdict: Verdict) {
        let frame = Frame::SlotResponse(SlotResponse { lease, verdict });
        self.send(to, frame).await;
    }

    async fn send(&self, to: SocketAddr, frame: Frame) {
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

fn slot_request(frame: Frame) -> Option<lease::Id> {
    match frame {
        Frame::SlotRequest(ask) => Some(ask.lease),
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

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, test);
}

fn spec(queue: Queue, size: &Size) -> SlotSpec<'_> {
    SlotSpec {
        class: Class::Online,
        service: "notes",
        exclude: &[],
        queue,
        rank: 0,
        meter: None,
        share: None,
        size,
        max_gap: None,
    }
}

fn room_report(failure_domain: &str, free: u32, age: Duration) -> RoomReport {
    let service = ServiceRoom {
        service: "notes".to_owned(),
        free,
        free_for_batch: 0,
        waiting: 0,
    };
    RoomReport {
        failure_domain: failure_domain.to_owned(),
        age_ms: age.as_millis() as u32,
        room: Room {
            services: [service].into_iter().collect(),
        },
    }
}

/// Requests a slot in the background.
fn request(fixture: &Fixture, queue: Queue) -> task::JoinHandle<SlotResult> {
    let sharing = Rc::clone(&fixture.sharing);
    task::spawn_local(async move {
        let size = Size::default();
        let spec = spec(queue, &size);
        sharing.request_slot_once(&spec, "north", queue).await
    })
}

#[test]
fn a_duplicate_grant_does_not_release_a_lease_in_use() {
    run(async {
        let fixture = Fixture::new().await;
        let request = request(&fixture, Queue::No);
        let (lease, host) = fixture.next(slot_request).await.unwrap();

        fixture.answer(host, lease, grant()).await;
        let granted = request.await.unwrap();
        fixture.answer(host, lease, grant()).await;

        assert!(matches!(granted, SlotResult::Granted(_)));
        assert_eq!(fixture.next(release).await, None);
    });
}

#[test]
fn a_slot_granted_after_the_caller_left_is_released() {
    run(async {
        let fixture = Fixture::new().await;
        let request = request(&fixture, Queue::No);
        let (lease, host) = fixture.next(slot_request).await.unwrap();
        request.abort();
        time::sleep(DELIVERY_TIME).await;

        fixture.answer(host, lease, grant()).await;

        let (released, _) = fixture.next(release).await.unwrap();
        assert_eq!(released, lease);
    });
}

#[test]
fn a_waiting_request_gets_a_slot_that_becomes_free() {
    run(async {
        let fixture = Fixture::new().await;
        let request = request(&fixture, Queue::Within(2_000));
        let (lease, host) = fixture.next(slot_request).await.unwrap();
        fixture.answer(host, lease, Verdict::Waiting).await;
        time::sleep(2 * DELIVERY_TIME).await;

        fixture.answer(host, lease, grant()).await;

        assert!(matches!(request.await.unwrap(), SlotResult::Granted(_)));
    });
}

#[test]
fn a_request_is_withdrawn_when_its_caller_leaves() {
    run(async {
        let fixture = Fixture::new().await;
        let request = request(&fixture, Queue::Within(2_000));
        let (lease, host) = fixture.next(slot_request).await.unwrap();
        fixture.answer(host, lease, Verdict::Waiting).await;
        time::sleep(DELIVERY_TIME).await;

        request.abort();

        let (withdrawn, _) = fixture.next(withdrawal).await.unwrap();
        assert_eq!(withdrawn, lease);
    });
}

#[test]
fn a_request_is_withdrawn_when_its_wait_expires() {
    run(async {
        let fixture = Fixture::new().await;
        let request = request(&fixture, Queue::Within(100));
        let (lease, host) = fixture.next(slot_request).await.unwrap();
        fixture.answer(host, lease, Verdict::Waiting).await;

        assert!(matches!(request.await.unwrap(), SlotResult::WaitExpired));
        let (withdrawn, _) = fixture.next(withdrawal).await.unwrap();
        assert_eq!(withdrawn, lease);
    });
}

/// Without reports, each request that is denied at home asks every failure domain.
#[parameterized(
    one_has_room = { true, Duration::ZERO, &["south", "west"] },
    reports_are_old = { true, Duration::from_secs(4), &["south", "north", "west"] },
    switched_off = { false, Duration::ZERO, &["south", "north", "west"] },
)]
fn a_denial_says_which_failure_domains_have_room(
    share_room: bool,
    age: Duration,
    expected: &[&str],
) {
    let options = Options {
        share_room,
        ..Options::default()
    };
    run(async move {
        let fixture = Fixture::with_options(options).await;
        let request = request(&fixture, Queue::No);
        let (lease, host) = fixture.next(slot_request).await.unwrap();
        let rooms = [room_report("north", 0, age), room_report("west", 3, age)];

        let rooms = rooms.into_iter().collect();
        let denial = Frame::Denial(Denial { lease, rooms });
        fixture.send(host, denial).await;
        let result = request.await.unwrap();

        let domains = ["south", "north", "west"].map(str::to_owned);
        let size = Size::default();
        let order = fixture
            .sharing
            .order_by_room(&domains.into_iter().collect(), &spec(Queue::No, &size));
        assert!(matches!(result, SlotResult::Denied));
        assert_eq!(order.to_vec(), expected);
    });
}
