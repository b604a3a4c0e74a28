//! Customers' limits: time a request, bytes a customer, and what an exchange of demand would cost.

use std::time::{Duration, Instant};

use tinbank_configuration::limit::Limits;
use tinbank_routing::limit::{Digest, Limiter, demand::Demand};

use super::{Allocated, Point, Series, micros, point, processor_time, weight};

const CUSTOMERS: [usize; 4] = [1_625, 3_250, 6_500, 13_000];
const HOSTS: [usize; 4] = [12, 74, 185, 370];
/// Customers that a host's digest names in the series over hosts.
const NAMED: usize = 100;
const REQUESTS: usize = 2_000;
const TOKENS: u32 = 400;

pub(super) fn request() -> Series {
    let points = points(&CUSTOMERS, |customers| {
        let now = Instant::now();
        let limiter = busy(customers, now);
        time(limiter, customers, now)
    });
    Series::new(
        "limits request",
        "customer known, at each request",
        "µs",
        points,
    )
}

pub(super) fn request_with_digests() -> Series {
    let points = points(&HOSTS, |hosts| {
        let now = Instant::now();
        let mut limiter = busy(NAMED, now);
        hear_all(&mut limiter, hosts, now);
        time(limiter, NAMED, now)
    });
    Series::new(
        "limits request with digests",
        "host whose digest was heard, at each request",
        "µs",
        points,
    )
}

pub(super) fn bytes(allocated: Allocated) -> Series {
    let points = points(&CUSTOMERS, |customers| {
        weight(allocated, || busy(customers, Instant::now()))
    });
    Series::new(
        "limits bytes",
        "customer with requests at the process",
        "bytes",
        points,
    )
}

pub(super) fn digest_bytes() -> Series {
    let points = points(&CUSTOMERS, |customers| {
        let digest = digest(customers);
        postcard_size(&digest)
    });
    Series::new(
        "limits digest bytes",
        "customer with demand at the host",
        "bytes of a digest",
        points,
    )
}

pub(super) fn digest_state_bytes(allocated: Allocated) -> Series {
    let points = points(&HOSTS, |hosts| {
        let now = Instant::now();
        weight(allocated, || {
            let mut limiter = Limiter::new(1);
            hear_all(&mut limiter, hosts, now);
            limiter
        })
    });
    Series::new(
        "limits digest state bytes",
        "host whose digest of 100 customers was heard",
        "bytes",
        points,
    )
}

fn points(sizes: &[usize], measure: impl Fn(usize) -> f64) -> Vec<Point> {
    sizes
        .iter()
        .map(|size| point(*size, measure(*size)))
        .collect()
}

fn time(limiter: Limiter, customers: usize, now: Instant) -> f64 {
    let names: Vec<_> = (0..REQUESTS)
        .map(|request| name(request * 7 % customers))
        .collect();
    let limits = limits();
    let later = now + Duration::from_secs(1);
    let spent = processor_time(
        || limiter.clone(),
        |mut limiter| {
            for customer in &names {
                // Some may be refused, which costs the same.
                if limiter.begin(customer, &limits, later).is_ok() {
                    limiter.spend(customer, TOKENS, later);
                    limiter.end(customer);
                }
            }
            std::hint::black_box(limiter);
        },
    );
    micros(spent) / REQUESTS as f64
}

fn busy(customers: usize, now: Instant) -> Limiter {
    let mut limiter = Limiter::new(1);
    let limits = limits();
    for customer in 0..customers {
        let name = name(customer);
        if limiter.begin(&name, &limits, now).is_ok() {
            limiter.spend(&name, TOKENS, now);
        }
    }
    for _ in 0..3 {
        limiter.announce(now);
    }
    limiter
}

fn hear_all(limiter: &mut Limiter, hosts: usize, now: Instant) {
    let others = 2..=hosts as u32;
    limiter.set_hosts(others.clone());
    for host in others {
        limiter.hear(host, digest(NAMED), now);
    }
}

fn digest(customers: usize) -> Digest {
    let demand = Demand {
        requests: 1.5,
        tokens: 600.0,
        at_once: 3.0,
    };
    Digest {
        customers: (0..customers)
            .map(|customer| (name(customer), demand))
            .collect(),
    }
}

fn postcard_size(digest: &Digest) -> f64 {
    postcard::to_stdvec(digest)
        .expect("a digest is a type that postcard can write")
        .len() as f64
}

fn limits() -> Limits {
    Limits {
        requests_per_second: Some(100_000),
        tokens_per_second: Some(10_000_000),
        online_at_once: Some(100_000),
        ..Limits::default()
    }
}

fn name(customer: usize) -> String {
    format!("customer-{customer:05}")
}
