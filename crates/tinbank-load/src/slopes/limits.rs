//! Customers' limits: time a request, bytes a customer, and what the exchange with keepers costs.

use std::time::{Duration, Instant};

use tinbank_base::frame::demand::{Claim, ClaimRequest};
use tinbank_configuration::limit::Online;
use tinbank_routing::limit::{Limiter, Scope, scope::Subject};

use super::{Allocated, Point, Series, micros, point, processor_time, weight};

const CUSTOMERS: [usize; 4] = [1_625, 3_250, 6_500, 13_000];
/// Claims in a frame; more than forty go into no frame.
const CLAIMS: [usize; 4] = [1, 10, 20, 40];
const HOSTS: u32 = 370;
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

pub(super) fn look() -> Series {
    let points = points(&CUSTOMERS, |customers| {
        let now = Instant::now();
        let limiter = busy(customers, now);
        let later = now + Duration::from_secs(1);
        let spent = processor_time(
            || limiter.clone(),
            |mut limiter| {
                std::hint::black_box(limiter.claim_requests(later));
            },
        );
        micros(spent)
    });
    Series::new(
        "limits look",
        "customer with requests at the process",
        "µs a look at what keepers have to be asked, two a second",
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

pub(super) fn ask_bytes() -> Series {
    let points = points(&CLAIMS, |claims| {
        let claim = Claim {
            limit: 1,
            limit_value: 100_000,
            demand_millis: 1_500,
            held_millis: 2_500,
        };
        let ask = ClaimRequest {
            round: 100_000,
            claims: std::iter::repeat_n(claim, claims).collect(),
        };
        let bytes = postcard::to_stdvec(&ask).expect("an ask is a type that postcard can write");
        bytes.len() as f64
    });
    Series::new(
        "limits ask bytes",
        "claim in an ask",
        "bytes of an ask",
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
    let scopes: Vec<_> = (0..REQUESTS)
        .map(|request| scope(request * 7 % customers))
        .collect();
    let later = now + Duration::from_secs(1);
    let spent = processor_time(
        || limiter.clone(),
        |mut limiter| {
            for scope in &scopes {
                let scope = std::slice::from_ref(scope);
                // Some may be refused, which costs the same.
                if limiter.begin(scope, later).is_ok() {
                    limiter.spend(scope, TOKENS, later);
                    limiter.end(scope);
                }
            }
            std::hint::black_box(limiter);
        },
    );
    micros(spent) / REQUESTS as f64
}

fn busy(customers: usize, now: Instant) -> Limiter {
    let mut limiter = Limiter::new(1, now);
    limiter.set_hosts((1..=HOSTS).collect(), now);
    for customer in 0..customers {
        let scope = [scope(customer)];
        if limiter.begin(&scope, now).is_ok() {
            limiter.spend(&scope, TOKENS, now);
        }
    }
    limiter
}

fn scope(customer: usize) -> Scope {
    let limits = Online {
        requests_per_second: Some(100_000),
        tokens_per_second: Some(10_000_000),
        online_at_once: Some(100_000),
    };
    Scope::new(&name(customer), Subject::Customer, limits)
}

fn name(customer: usize) -> String {
    format!("customer-{customer:05}")
}
