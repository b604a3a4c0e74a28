//! Placing by kept prompt parts and by memory, as hosts see it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Allocator, Options,
    allocator::{StateChange, Upstream},
    frame::{Denial, Frame, Holdings, Queue, Release, SlotRequest, Verdict},
    lease::{Class, Due, Footprint, Held, Id, Outcome},
    size::{Part, Size, Tokens},
};
use tinbank_allowance::Tolerance;
use tinbank_base::id;

/// Longer than the prompts take to be read.
const READ: Duration = Duration::from_secs(1);
/// Longer than an allocator learns.
const LEARNING_PERIOD: Duration = Duration::from_millis(1_600);
const MEMORY: Tokens = 1_000;

fn host() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000))
}

fn upstream(name: &str) -> Upstream {
    Upstream {
        instance: name.into(),
        address: SocketAddr::from(([10, 0, 1, 1], 8000)),
        service: "notes".to_owned(),
        slots: 8,
        memory_tokens: Some(MEMORY),
        max_connections: None,
        cold: None,
    }
}

fn prompt(first: u32, tokens: Tokens) -> Size {
    let parts = [first, first + 1_000];
    let parts = parts.map(|prefix| Part {
        prefix,
        tokens: tokens / 2,
    });
    Size {
        parts: parts.into_iter().collect(),
        prompt_tokens: tokens,
        ..Size::default()
    }
}

/// An allocator that no longer learns.
struct Fixture {
    allocator: Allocator,
    now: Instant,
    next: Id,
}

impl Fixture {
    fn new(prefix_affinity: bool, upstreams: &[&str]) -> Self {
        let options = Options {
            prefix_affinity,
            ..Options::default()
        };
        let mut fixture = Self {
            allocator: Allocator::with_options(1, Tolerance::default(), options),
            now: Instant::now(),
            next: 0,
        };
        fixture.set_upstreams(upstreams);
        fixture.send_holdings(Vec::new());
        fixture.now += LEARNING_PERIOD;
        fixture.send_holdings(Vec::new());
        fixture
    }

    fn set_upstreams(&mut self, names: &[&str]) {
        let upstreams = names.iter().map(|name| upstream(name));
        self.allocator.set_upstreams(upstreams.collect());
    }

    fn send_holdings(&mut self, held: Vec<Held>) {
        let next = self.next;
        let holdings = Frame::Holdings(Holdings { next, held });
        self.allocator.receive(host(), holdings, self.now);
    }

    fn request(
        &mut self,
        class: Class,
        queue: Queue,
        size: Size,
    ) -> (Verdict, Option<StateChange>) {
        let lease = self.next;
        self.next += 1;
        let request = SlotRequest {
            lease,
            class,
            service: "notes".to_owned(),
            exclude: Default::default(),
            queue,
            rank: 0,
            meter: None,
            share: None,
            size,
            max_gap_ms: None,
        };
        let frame = Frame::SlotRequest(request);
        let (out, change) = self.allocator.receive(host(), frame, self.now);
        let verdict = out.into_iter().find_map(|(_, frame)| match frame {
            Frame::SlotResponse(response) => Some(response.verdict),
            _ => None,
        });
        (verdict.expect("a response"), change)
    }

    fn online(&mut self, queue: Queue, size: Size) -> Verdict {
        self.request(Class::Online, queue, size).0
    }

    fn place(&mut self, size: Size) -> id::Instance {
        match self.online(Queue::No, size) {
            Verdict::Granted(grant) => grant.upstream,
            other => panic!("not granted: {other:?}"),
        }
    }

    /// Releases a lease and returns the leases that are granted thereby.
    fn release(&mut self, lease: Id, upstream: &str, outcome: Outcome) -> Vec<Id> {
        let release = Release {
            lease,
            upstream: upstream.into(),
            outcome,
            pace: None,
        };
        let frame = Frame::Release(release);
        let (out, _) = self.allocator.receive(host(), frame, self.now);
        let granted = out.into_iter().filter_map(|(_, frame)| match frame {
            Frame::SlotResponse(response) => Some(response.lease),
            _ => None,
        });
        granted.collect()
    }
}

fn batch() -> Class {
    Class::Batch(Due {
        late: false,
        at_ms: 1,
    })
}

#[test]
fn a_request_goes_where_its_shared_parts_are_kept() {
    let mut fixture = Fixture::new(true, &["a", "b", "c"]);
    let first = fixture.place(prompt(1, 100));
    fixture.now += READ;

    let second = fixture.place(prompt(1, 100));

    assert_eq!(first, second);
    assert_eq!(fixture.allocator.take_summary().kept_tokens, 100);
}

#[test]
fn without_the_setting_neither_parts_nor_memory_count() {
    let mut fixture = Fixture::new(false, &["a", "b"]);
    let first = fixture.place(prompt(1, 2 * MEMORY));
    fixture.now += READ;

    let second = fixture.place(prompt(1, 2 * MEMORY));

    assert_ne!(first, second);
    assert_eq!(fixture.allocator.take_summary(), Default::default());
}

#[test]
fn a_restarted_upstream_keeps_nothing() {
    let mut fixture = Fixture::new(true, &["a"]);
    fixture.place(prompt(1, 100));
    fixture.now += READ;

    fixture.set_upstreams(&["a, restarted"]);
    fixture.place(prompt(1, 100));

    assert_eq!(fixture.allocator.take_summary().kept_tokens, 0);
}

/// Another allocator has sent requests meanwhile, so older parts may be evicted.
#[test]
fn an_allocator_that_was_idle_knows_of_no_kept_parts() {
    let mut fixture = Fixture::new(true, &["a"]);
    fixture.place(prompt(1, 100));
    fixture.now += Duration::from_secs(10);

    fixture.place(prompt(1, 100));

    assert_eq!(fixture.allocator.take_summary().kept_tokens, 0);
}

/// A caller that waits until its deadline for a slot that can't come loses the time to try elsewhere.
#[test]
fn a_request_that_fits_no_upstream_is_denied_at_once_and_reported_once() {
    let mut fixture = Fixture::new(true, &["a", "b"]);
    let too_large = prompt(1, MEMORY + 2);

    let (first, reported) = fixture.request(Class::Online, Queue::Within(200), too_large.clone());
    let (second, not_again) = fixture.request(Class::Online, Queue::Within(200), too_large);

    assert_eq!(
        [first, second],
        [
            Verdict::Denied(Denial::default()),
            Verdict::Denied(Denial::default())
        ]
    );
    assert!(matches!(reported, Some(StateChange::Oversized(_))));
    assert_eq!(not_again, None);
    assert_eq!(fixture.allocator.take_summary().oversized, 2);
}

#[test]
fn a_request_that_does_not_fit_beside_others_waits_until_it_does() {
    let mut fixture = Fixture::new(true, &["a"]);
    fixture.place(prompt(1, 600));

    let verdict = fixture.online(Queue::Within(200), prompt(2, 600));
    let granted = fixture.release(0, "a", Outcome::Served);

    assert_eq!(verdict, Verdict::Waiting);
    assert_eq!(granted, [1]);
}

/// A stream that has begun is never refused.
#[test]
fn a_request_that_may_queue_inside_an_upstream_is_granted_without_memory() {
    let mut fixture = Fixture::new(true, &["a"]);
    fixture.place(prompt(1, 600));

    let verdict = fixture.online(Queue::InUpstream, prompt(2, 600));

    assert!(matches!(verdict, Verdict::Granted(_)));
}

#[test]
fn a_batch_item_is_reclaimed_only_if_the_request_then_fits() {
    let mut fixture = Fixture::new(true, &["a"]);
    fixture.request(batch(), Queue::No, prompt(1, 100));
    fixture.place(prompt(2, 500));

    let too_large = fixture.online(Queue::No, prompt(3, 600));
    let fits = fixture.online(Queue::No, prompt(3, 450));

    assert_eq!(too_large, Verdict::Denied(Denial::default()));
    assert!(matches!(fits, Verdict::Granted(_)));
}

/// The successor of a lost allocator must not overfill upstreams.
#[test]
fn memory_of_reported_leases_counts() {
    let mut fixture = Fixture::new(true, &["a"]);
    let held = Held {
        lease: 0,
        upstream: "a".into(),
        class: Class::Online,
        footprint: Footprint {
            memory: 600,
            ..Footprint::default()
        },
    };
    fixture.next = 1;
    fixture.send_holdings(vec![held]);

    assert_eq!(
        fixture.online(Queue::No, prompt(1, 600)),
        Verdict::Denied(Denial::default())
    );
}
