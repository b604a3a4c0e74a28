//! Limits over all hosts: the sum stays within its bound with skewed arrival, lags, lost digests and lost hosts.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_base::id;
use tinbank_configuration::limit::Limits;
use tinbank_routing::limit::{
    Digest, Limiter, Which,
    bucket::{Bucket, Rate},
    demand::FRESH,
    share::{self, View},
};
use tinbank_test_support::property;

const CUSTOMER: &str = "customer";
const LIMIT: u32 = 100;

fn limits() -> Limits {
    Limits {
        requests_per_second: Some(LIMIT),
        ..Limits::default()
    }
}

/// Hosts that exchange digests once a second, with a delay and with losses.
struct Fleet {
    hosts: Vec<Limiter>,
    under_way: Vec<(Instant, usize, id::Host, Digest)>,
    now: Instant,
    accepted: Vec<u32>,
}

const STEP: Duration = Duration::from_millis(10);

impl Fleet {
    fn new(size: usize) -> Self {
        let all: Vec<id::Host> = (0..size as u32).collect();
        let limiter = |host: &id::Host| {
            let mut limiter = Limiter::new(*host);
            limiter.set_hosts(all.iter().copied());
            limiter
        };
        Self {
            hosts: all.iter().map(limiter).collect(),
            under_way: Vec::new(),
            now: Instant::now(),
            accepted: vec![0; size],
        }
    }

    /// One second, in which each host gets so many requests, evenly over the time. Returns how many were let in.
    fn second(
        &mut self,
        arrivals: &[u32],
        delay: Duration,
        lost: impl Fn(usize, usize) -> bool,
    ) -> u32 {
        self.announce(delay, lost);
        let steps = (Duration::from_secs(1).as_millis() / STEP.as_millis()) as u32;
        let mut let_in = 0;
        for step in 0..steps {
            self.now += STEP;
            self.deliver();
            for (host, count) in arrivals.iter().enumerate() {
                let due = count * (step + 1) / steps - count * step / steps;
                for _ in 0..due {
                    let begun = self.hosts[host].begin(CUSTOMER, &limits(), self.now);
                    if begun.is_ok() {
                        self.hosts[host].end(CUSTOMER);
                        self.accepted[host] += 1;
                        let_in += 1;
                    }
                }
            }
        }
        let_in
    }

    fn announce(&mut self, delay: Duration, lost: impl Fn(usize, usize) -> bool) {
        for from in 0..self.hosts.len() {
            let digest = self.hosts[from].announce(self.now);
            for to in (0..self.hosts.len()).filter(|to| *to != from && !lost(from, *to)) {
                let digest = digest.clone();
                self.under_way
                    .push((self.now + delay, to, from as id::Host, digest));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let arrived = self.under_way.extract_if(.., |(at, ..)| *at <= now);
        for (_, to, from, digest) in arrived {
            self.hosts[to].hear(from, digest, now);
        }
    }
}

/// The bound of `docs/design/limits.md`: the limit over the time, one second's burst, and one request a host.
fn bound(seconds: u32, hosts: usize) -> u32 {
    LIMIT * (seconds + 1) + hosts as u32
}

fn rarely(lost: u64) -> impl Fn(usize, usize) -> bool {
    move |from, to| (lost >> ((from * 7 + to) % 60)) & 1 == 1
}

proptest! {
    #![proptest_config(property::config(48))]

    #[test]
    fn the_sum_stays_within_its_bound_wherever_the_demand_arrives(
        seconds in prop::collection::vec((prop::collection::vec(0_u32..200, 4), any::<u64>(), 0_u64..900), 4..16),
    ) {
        let mut fleet = Fleet::new(4);
        let mut accepted = Vec::new();
        for (arrivals, losses, delay) in &seconds {
            // One digest in four is lost, so that some views are incomplete.
            let losses = losses & losses.rotate_left(13);
            accepted.push(fleet.second(arrivals, Duration::from_millis(*delay), rarely(losses)));
        }
        for window in 1..=accepted.len() {
            for part in accepted.windows(window) {
                let sum: u32 = part.iter().sum();
                // Hosts whose views are incomplete may use an even part besides.
                prop_assert!(sum <= 2 * bound(window as u32, 4), "{sum} in {window} s");
            }
        }
    }

    #[test]
    fn the_sum_stays_within_the_limit_when_no_digest_is_lost(
        seconds in prop::collection::vec((prop::collection::vec(0_u32..200, 4), 0_u64..900), 4..16),
    ) {
        let mut fleet = Fleet::new(4);
        let mut accepted = Vec::new();
        for (arrivals, delay) in &seconds {
            accepted.push(fleet.second(arrivals, Duration::from_millis(*delay), |_, _| false));
        }
        for window in 1..=accepted.len() {
            for part in accepted.windows(window) {
                let sum: u32 = part.iter().sum();
                prop_assert!(sum <= bound(window as u32, 4), "{sum} in {window} s");
            }
        }
    }

    #[test]
    fn shares_of_one_view_add_up_to_the_limit(demands in prop::collection::vec(0.0_f64..300.0, 1..40)) {
        let total: f64 = demands.iter().sum();
        let shares = demands.iter().map(|own| share::of(LIMIT.into(), &View {
            hosts: demands.len(),
            own: *own,
            others: Some(total - own),
        }));

        let sum: f64 = shares.sum();

        prop_assert!((sum - f64::from(LIMIT)).abs() < 1e-6, "{sum}");
    }

    #[test]
    fn a_bucket_lets_in_no_more_than_its_rate_and_its_burst(
        rate in 1.0_f64..200.0,
        gaps in prop::collection::vec(0_u64..50, 1..400),
    ) {
        let rate = Rate { per_second: rate, burst: rate.max(1.0) };
        let began = Instant::now();
        let mut now = began;
        let mut bucket = Bucket::new(rate, now);
        let mut let_in = 0.0;
        for gap in gaps {
            now += Duration::from_millis(gap);
            bucket.fill(rate, now);
            if bucket.check(1.0, rate).is_ok() {
                bucket.take(1.0);
                let_in += 1.0;
            }
            let passed = (now - began).as_secs_f64();
            prop_assert!(let_in <= rate.burst + passed * rate.per_second + 1e-6);
        }
    }
}

#[test]
fn the_share_follows_the_demand_to_one_host() {
    let mut fleet = Fleet::new(4);
    let skewed = [80, 0, 0, 0];

    let let_in: Vec<u32> = (0..12)
        .map(|_| fleet.second(&skewed, Duration::from_millis(200), |_, _| false))
        .collect();

    assert!(
        let_in[0] <= LIMIT / 2,
        "at first it has an even part: {let_in:?}"
    );
    assert!(let_in[11] >= 78, "then all that it asks for: {let_in:?}");
}

#[test]
fn without_digests_each_host_has_an_even_part() {
    let mut fleet = Fleet::new(4);
    for _ in 0..5 {
        fleet.second(&[200; 4], Duration::ZERO, |_, _| true);
    }
    let before = fleet.accepted.clone();

    fleet.second(&[200; 4], Duration::ZERO, |_, _| true);

    for (before, after) in before.iter().zip(&fleet.accepted) {
        assert!((24..=26).contains(&(after - before)));
    }
}

#[test]
fn a_lost_host_s_share_goes_to_the_others() {
    let mut fleet = Fleet::new(3);
    let lost = |from: usize, to: usize| from == 2 || to == 2;
    for _ in 0..6 {
        fleet.second(&[60, 60, 60], Duration::from_millis(100), |_, _| false);
    }

    // Silent at first, then known as dead.
    let silent = fleet.second(&[60, 60, 0], Duration::from_millis(100), lost);
    for limiter in &mut fleet.hosts {
        limiter.set_hosts([0, 1]);
    }
    for _ in 0..6 {
        fleet.second(&[60, 60, 0], Duration::from_millis(100), lost);
    }
    let after = fleet.second(&[60, 60, 0], Duration::from_millis(100), lost);

    assert!(silent <= LIMIT);
    assert!((95..=102).contains(&after), "{after}");
}

#[test]
fn a_digest_is_not_believed_for_long() {
    let now = Instant::now();
    let mut limiter = Limiter::new(0);
    limiter.set_hosts([0, 1]);
    limiter.hear(1, Digest::default(), now);
    let later = now + FRESH + Duration::from_millis(1);

    let let_in = (0..LIMIT).filter(|_| limiter.begin(CUSTOMER, &limits(), later).is_ok());

    // The burst of an even part, not of the whole.
    assert!(let_in.count() <= 1 + LIMIT as usize / 2);
}

#[test]
fn requests_at_once_are_bounded_and_end() {
    let now = Instant::now();
    let limits = Limits {
        online_at_once: Some(3),
        ..Limits::default()
    };
    let mut limiter = Limiter::new(0);
    for _ in 0..3 {
        limiter.begin(CUSTOMER, &limits, now).unwrap();
    }

    let refused = limiter.begin(CUSTOMER, &limits, now).unwrap_err();
    limiter.end(CUSTOMER);

    assert_eq!(refused.which, Which::AtOnce);
    assert!(refused.retry_at > now);
    assert!(limiter.begin(CUSTOMER, &limits, now).is_ok());
}

#[test]
fn tokens_are_paid_afterwards_and_owed_ones_hold_the_next_request() {
    let now = Instant::now();
    let limits = Limits {
        tokens_per_second: Some(10),
        ..Limits::default()
    };
    let mut limiter = Limiter::new(0);
    limiter.begin(CUSTOMER, &limits, now).unwrap();
    limiter.spend(CUSTOMER, 30, now);
    limiter.end(CUSTOMER);

    let refused = limiter.begin(CUSTOMER, &limits, now).unwrap_err();

    assert_eq!(refused.which, Which::Tokens);
    assert!(refused.retry_at >= now + Duration::from_secs(2));
    assert!(limiter.begin(CUSTOMER, &limits, refused.retry_at).is_ok());
}
