//! Online traffic: requests come by chance, and in bursts; each is checked and timed.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    balancer::Balancer,
    caller::{Caller, Streamed},
    example::{Example, Online, Request},
    run::{Progress, expected, with_reference},
    tally::Tally,
};

/// Seed of arrivals unless told otherwise: the same in every phase, so that phases can be compared.
pub const SEED: u64 = 20_261_202;

/// Time to the first token.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Latency {
    /// How many requests had one.
    pub requests: u64,
    /// Half of the requests were faster, in milliseconds.
    pub p50_ms: f64,
    /// 95 in 100 were faster.
    pub p95_ms: f64,
    /// 99 in 100 were faster.
    pub p99_ms: f64,
    /// The slowest.
    pub max_ms: f64,
}

/// What the callers saw.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Seen {
    /// Time to the first token.
    pub first: Latency,
    /// Time between two tokens; `requests` counts the gaps.
    pub between: Latency,
    /// Time that all whole answers took together, in seconds: so long online held slots, or waited for one.
    pub busy_s: f64,
}

/// Online traffic that is sent for a time.
pub struct Traffic<'a> {
    /// What is sent.
    pub example: &'a Example,
    /// Where to.
    pub hosts: &'a Balancer,
    /// Sets its requests apart from others.
    pub phase: &'a str,
    /// For how long.
    pub lasting: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Where all is counted.
    pub tally: &'a Arc<Mutex<Tally>>,
    /// Where it is shown.
    pub progress: &'a Progress,
}

/// Sends online traffic, each request at its time however slow the answers are, and waits for all answers.
pub async fn run(traffic: Traffic<'_>) -> Seen {
    let Traffic {
        example,
        hosts,
        phase,
        lasting,
        seed,
        tally,
        progress,
    } = traffic;
    let caller = Caller::new(&example.deployment.key);
    let times = Arc::new(Mutex::new(Times::default()));
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    let begun = Instant::now();
    let mut at = Duration::ZERO;
    for number in 0_usize.. {
        at += gap(&example.deployment.online, at, &mut random);
        if at >= lasting {
            break;
        }
        tokio::time::sleep_until(begun + at).await;
        let call = Call {
            caller: caller.clone(),
            host: hosts.at(number),
            request: example.requests[number % example.requests.len()].clone(),
            service: example.service.clone(),
            reference: format!("online-{phase}-{number}"),
            tally: tally.clone(),
            times: times.clone(),
            progress: progress.clone(),
        };
        calls.spawn(call.run());
    }
    calls.join_all().await;
    lock(&times).seen()
}

/// What was measured so far.
struct Times {
    first: Histogram<u64>,
    between: Histogram<u64>,
    busy: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            first: histogram(),
            between: histogram(),
            busy: Duration::ZERO,
        }
    }
}

impl Times {
    fn note(&mut self, answer: &Streamed) {
        self.first.saturating_record(micros(answer.first));
        for gap in &answer.gaps {
            self.between.saturating_record(micros(*gap));
        }
        self.busy += answer.whole;
    }

    fn seen(&self) -> Seen {
        Seen {
            first: Latency::of(&self.first),
            between: Latency::of(&self.between),
            busy_s: self.busy.as_secs_f64(),
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

struct Call {
    caller: Caller,
    host: SocketAddr,
    request: Request,
    service: String,
    reference: String,
    tally: Arc<Mutex<Tally>>,
    times: Arc<Mutex<Times>>,
    progress: Progress,
}

impl Call {
    async fn run(self) {
        let mut body = with_reference(&self.request.body, &self.reference);
        body.insert("model".to_owned(), self.service.into());
        body.insert("stream".to_owned(), true.into());
        lock(&self.tally).accepted(self.reference.clone(), expected(&body));
        match self
            .caller
            .chat(self.host, &self.request.stream, &body)
            .await
        {
            Ok(answer) => {
                lock(&self.tally).answered(&self.reference, &answer.text);
                lock(&self.times).note(&answer);
                self.progress.online();
            }
            Err(error) => {
                lock(&self.tally).failed(&self.reference);
                self.progress.note(&format!("{}: {error}", self.reference));
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time to the next request: exponential, shorter in bursts.
fn gap(online: &Online, at: Duration, random: &mut StdRng) -> Duration {
    let every = online.burst_every.as_secs_f64().max(f64::MIN_POSITIVE);
    let in_burst = at.as_secs_f64() % every < online.burst_for.as_secs_f64();
    let factor = if in_burst { online.burst_factor } else { 1.0 };
    let rate = (online.requests_per_second * factor).max(f64::MIN_POSITIVE);
    let draw: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    Duration::try_from_secs_f64(-draw.ln() / rate).unwrap_or(Duration::MAX)
}

fn histogram() -> Histogram<u64> {
    const LONGEST_MICROS: u64 = 120_000_000;
    const DIGITS: u8 = 3;
    Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS).expect("the bounds are in order")
}

impl Latency {
    fn of(micros: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1_000.0;
        Self {
            requests: micros.len(),
            p50_ms: millis(micros.value_at_quantile(0.50)),
            p95_ms: millis(micros.value_at_quantile(0.95)),
            p99_ms: millis(micros.value_at_quantile(0.99)),
            max_ms: millis(micros.max()),
        }
    }
}
