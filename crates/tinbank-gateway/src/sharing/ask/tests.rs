//! Tests slot requests to an allocator whose datagrams are delayed, duplicated or lost.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Options,
    directory::Peer,
    frame::{
        Denial, DenialReport, Frame, Grant, MAX_DATAGRAM_BYTES, Queue, Room, RoomReport,
        ServiceRoom, SlotResponse, Verdict,
    },
    lease::{self, Class},
    options::Strategy,
    pace::{Expected, Sample},
    size::Size,
};
use tinbank_allowance::Tolerance;
use tinbank_relay::region::Allowed;
use tokio::{net::UdpSocket, task, time};
use yare::parameterized;

use super::SlotResult;
use crate::sharing::{Sharing, SlotSpec, receive};

/// Longer than a datagram takes on the local machine if no load delays the receiving process.
const DELIVERY_TIME: Duration = Duration::from_millis(60);

/// Bounds the wait for a datagram that must arrive. With [`DELIVERY_TIME`] as the bound, tests failed on a loaded machine.
const DELIVERY_LIMIT: Duration = Duration::from_secs(5);

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
        let allocator_address = allocator.local_addr().unwrap();
        sharing.set_hosts(vec![peer(allocator_address, "north")]);
        // As for a distant host, which has 150 ms to answer. With the 25 ms of others, tests failed on a loaded machine.
        let now = Instant::now();
        let mut state = sharing.state.borrow_mut();
        state
            .directory
            .record_heartbeat_sent(allocator_address, now);
        state
            .directory
            .record_heartbeat_reply(allocator_address, now + Duration::from_millis(50));
        drop(state);
        task::spawn_local(receive(Rc::clone(&sharing), |_, _| {}));
        Self { sharing, allocator }
    }

    /// Returns the next datagram that `select` accepts, or `None` if none arrives within [`DELIVERY_LIMIT`].
    async fn next<T>(&self, select: impl Fn(Frame) -> Option<T>) -> Option<(T, SocketAddr)> {
        self.next_within(DELIVERY_LIMIT, select).await
    }

    /// Returns the next datagram that `select` accepts, or `None` if none arrives in time.
    async fn next_within<T>(
        &self,
        limit: Duration,
        select: impl Fn(Frame) -> Option<T>,
    ) -> Option<(T, SocketAddr)> {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let received = time::timeout(limit, self.allocator.recv_from(&mut buffer)).await;
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
        build: "v1".into(),
        queued: false,
        expected: Some(Expected {
            first_event_ms: 20,
            interval_us: 20_000,
        }),
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

fn pace(frame: Frame) -> Option<Option<Sample>> {
    match frame {
        Frame::Release(release) => Some(release.pace),
        Frame::Pace(report) => Some(Some(report.sample)),
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

fn spec<'a>(queue: Queue, size: &'a Size, allowed: &'a Allowed) -> SlotSpec<'a> {
    SlotSpec {
        class: Class::Online,
        service: "notes",
        exclude: &[],
        queue,
        rank: 0,
        meter: None,
        share: None,
        size,
        build: None,
        max_gap: None,
        allowed,
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
        let allowed = Allowed::default();
        let spec = spec(queue, &size, &allowed);
        sharing.request_slot_once(&spec, "north", queue, &[]).await
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
        assert_eq!(fixture.next_within(DELIVERY_TIME, release).await, None);
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

/// Guards against a request that is displaced at one allocator and then waits for its full time at the next.
#[test]
fn a_denial_after_a_wait_states_how_long_the_request_has_waited() {
    run(async {
        let fixture = Fixture::new().await;
        let request = request(&fixture, Queue::Within(2_000));
        let (lease, host) = fixture.next(slot_request).await.unwrap();
        fixture.answer(host, lease, Verdict::Waiting).await;
        time::sleep(DELIVERY_TIME).await;

        let denial = Denial {
            retry_after_ms: Some(700),
            ..Denial::default()
        };
        fixture.answer(host, lease, Verdict::Denied(denial)).await;

        let SlotResult::Denied(denied) = request.await.unwrap() else {
            panic!("expected a denial");
        };
        assert_eq!(denied.retry_after, Some(Duration::from_millis(700)));
        assert!(denied.waited >= DELIVERY_TIME);
    });
}

/// Runs a request whose only event arrives after a time. Returns the samples that the allocator gets.
async fn samples(options: Options, after: Duration) -> Vec<Option<Sample>> {
    let fixture = Fixture::with_options(options).await;
    let request = request(&fixture, Queue::No);
    let (lease, host) = fixture.next(slot_request).await.unwrap();
    fixture.answer(host, lease, grant()).await;
    let SlotResult::Granted(lease) = request.await.unwrap() else {
        panic!("no slot granted");
    };

    lease.start_meter();
    lease.receive(time::sleep(after)).await;
    lease.record_event();
    drop(lease);

    let mut samples = Vec::new();
    while let Some((sample, _)) = fixture.next_within(4 * DELIVERY_TIME, pace).await {
        samples.push(sample);
    }
    samples
}

#[test]
fn a_late_event_is_reported_while_the_request_runs() {
    run(async {
        let options = Options {
            strategy: Strategy::ExpectedFirstEvent,
            ..Options::default()
        };

        let late = samples(options, Duration::from_millis(150)).await;
        let on_time = samples(options, Duration::from_millis(1)).await;

        // When it is noticed, when it arrives and when the request ends.
        let late: Vec<_> = late.iter().map(|it| it.unwrap().first_event_ms).collect();
        assert!(late.len() == 3 && late[0] < late[1], "{late:?}");
        assert_eq!(on_time.len(), 1);
        assert!(on_time[0].is_some());
    });
}

#[test]
fn nothing_is_measured_without_the_setting() {
    run(async {
        let samples = samples(Options::default(), Duration::from_millis(150)).await;

        assert_eq!(samples, [None]);
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
        let denial = Frame::Denial(DenialReport {
            lease,
            denial: Denial::default(),
            rooms,
        });
        fixture.send(host, denial).await;
        let result = request.await.unwrap();

        let domains = ["south", "north", "west"].map(str::to_owned);
        let size = Size::default();
        let order = fixture.sharing.order_by_room(
            &domains.into_iter().collect(),
            &spec(Queue::No, &size, &Allowed::default()),
        );
        assert!(matches!(result, SlotResult::Denied(_)));
        assert_eq!(order.to_vec(), expected);
    });
}
