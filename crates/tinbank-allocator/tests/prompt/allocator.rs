//! Placing by prompt and memory, as hosts see it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Allocator, Options,
    allocator::{Outgoing, StateChange, Upstream},
    frame::{Denial, Frame, Holdings, Queue, Release, SlotRequest, Verdict},
    lease::{Class, Due, Footprint, Held, Id, Outcome},
    size::{Prefix, Size, Tokens},
};
use yare::parameterized;

use crate::{prompt, slot_request};

/// Longer than an allocator learns and prompts take to be read.
const SETTLED: Duration = Duration::from_millis(1_600);
const MEMORY: Tokens = 1_000;

fn host() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn upstreams(names: &[&str]) -> Vec<Upstream> {
    let upstreams = names.iter().map(|name| Upstream {
        instance: (*name).into(),
        address: host(),
        service: "notes".to_owned(),
        slots: 8,
        memory_tokens: Some(MEMORY),
        max_connections: None,
        cold: None,
    });
    upstreams.collect()
}

fn denied() -> Verdict {
    Verdict::Denied(Denial::default())
}

fn sized(first: Prefix, tokens: Tokens) -> Size {
    prompt(&[(first, tokens / 2), (first + 1_000, tokens / 2)])
}

/// An allocator that has learnt its leases.
struct Fixture {
    allocator: Allocator,
    now: Instant,
    next: Id,
}

impl Fixture {
    fn new(prefix_affinity: bool, names: &[&str]) -> Self {
        let options = Options {
            prefix_affinity,
            ..Options::default()
        };
        let mut allocator = Allocator::with_options(1, Default::default(), options);
        allocator.set_upstreams(upstreams(names));
        let (now, next) = (Instant::now(), 1);
        let mut fixture = Self {
            allocator,
            now,
            next,
        };
        fixture.send_holdings(Vec::new());
        fixture.now += SETTLED;
        fixture
    }

    fn send_holdings(&mut self, held: Vec<Held>) {
        let next = self.next;
        self.receive(Frame::Holdings(Holdings { next, held }));
    }

    fn receive(&mut self, frame: Frame) -> (Outgoing, Option<StateChange>) {
        self.allocator.receive(host(), frame, self.now)
    }

    fn request(
        &mut self,
        class: Class,
        queue: Queue,
        size: Size,
    ) -> (Verdict, Option<StateChange>) {
        let request = SlotRequest {
            lease: self.next,
            class,
            queue,
            ..slot_request(size)
        };
        self.next += 1;
        let (mut out, change) = self.receive(Frame::SlotRequest(request));
        match out.pop() {
            Some((_, Frame::SlotResponse(response))) => (response.verdict, change),
            other => panic!("no response: {other:?}"),
        }
    }

    /// Returns the upstream that a request is granted.
    fn place(&mut self, size: Size) -> Option<String> {
        match self.request(Class::Online, Queue::No, size).0 {
            Verdict::Granted(grant) => Some(grant.upstream.to_string()),
            _ => None,
        }
    }
}

/// Without the setting neither parts nor memory count.
#[parameterized(on = { true, 100, true }, off = { false, 2 * MEMORY, false })]
fn a_request_goes_where_its_shared_parts_are_kept(affinity: bool, tokens: Tokens, same: bool) {
    let mut fixture = Fixture::new(affinity, &["a", "b"]);
    let first = fixture.place(sized(1, tokens));
    fixture.now += SETTLED;

    let second = fixture.place(sized(1, tokens));

    assert_eq!(first == second, same);
    assert!(first.is_some() && second.is_some());
    assert_eq!(
        fixture.allocator.take_summary().kept_tokens,
        if affinity { 100 } else { 0 }
    );
}

/// A new instance has an empty memory; while an allocator is idle, another one sends requests.
#[parameterized(
    same = { "a", SETTLED, 100 },
    restarted = { "a, restarted", SETTLED, 0 },
    idle_allocator = { "a", Duration::from_secs(10), 0 },
)]
fn what_an_upstream_kept_is_forgotten_in_time(name: &str, after: Duration, kept: u64) {
    let mut fixture = Fixture::new(true, &["a"]);
    fixture.place(sized(1, 100));

    fixture.now += after;
    fixture.allocator.set_upstreams(upstreams(&[name]));
    fixture.place(sized(1, 100));

    assert_eq!(fixture.allocator.take_summary().kept_tokens, kept);
}

/// A caller that waits until its deadline for a slot that can't come loses the time to try elsewhere.
#[test]
fn a_request_that_fits_no_upstream_is_denied_at_once_and_reported_once() {
    let mut fixture = Fixture::new(true, &["a", "b"]);
    let mut request = || fixture.request(Class::Online, Queue::Within(200), sized(1, MEMORY + 2));

    let [(first, reported), (second, not_again)] = [request(), request()];

    assert_eq!([first, second], [denied(), denied()]);
    assert!(matches!(reported, Some(StateChange::Oversized(_))));
    assert_eq!(not_again, None);
    assert_eq!(fixture.allocator.take_summary().oversized, 2);
}

/// A stream that has begun is never refused, so it may queue inside an upstream.
#[test]
fn a_request_that_does_not_fit_beside_others_waits_until_it_does() {
    let mut fixture = Fixture::new(true, &["a"]);
    fixture.place(sized(1, 600));

    let (waits, _) = fixture.request(Class::Online, Queue::Within(200), sized(2, 600));
    let (begun, _) = fixture.request(Class::Online, Queue::InUpstream, sized(3, 600));
    let releases = [1, 3].map(|lease| {
        fixture.receive(Frame::Release(Release {
            lease,
            upstream: "a".into(),
            outcome: Outcome::Served,
            pace: None,
        }))
    });

    assert_eq!(waits, Verdict::Waiting);
    assert!(matches!(begun, Verdict::Granted(_)));
    assert_eq!(releases.map(|(out, _)| out.len()), [0, 1]);
}

#[test]
fn a_batch_item_is_reclaimed_only_if_the_request_then_fits() {
    let mut fixture = Fixture::new(true, &["a"]);
    let (late, at_ms) = (false, 1);
    let batch = Class::Batch(Due { late, at_ms });
    fixture.request(batch, Queue::No, sized(1, 100));
    fixture.place(sized(2, 500));

    let [too_large, fits] = [600, 450].map(|tokens| fixture.place(sized(3, tokens)));

    assert_eq!(too_large, None);
    assert!(fits.is_some());
}

/// The successor of a lost allocator must not overfill upstreams.
#[test]
fn memory_of_reported_leases_counts() {
    let mut fixture = Fixture::new(true, &["a"]);
    let footprint = Footprint {
        memory: 600,
        ..Footprint::default()
    };
    fixture.send_holdings(vec![Held {
        lease: 0,
        upstream: "a".into(),
        class: Class::Online,
        footprint,
    }]);

    assert_eq!(fixture.place(sized(1, 600)), None);
}
