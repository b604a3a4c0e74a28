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
    caller::Caller,
    example::{Example, Online, Request},
    run::{Progress, expected, with_reference},
    tally::Tally,
};

/// Seed of arrivals: the same in every phase, so that phases can be compared.
const SEED: u64 = 20_261_202;

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

/// Sends online traffic for a time, and waits for all answers.
pub async fn run(
    example: &Example,
    hosts: &[SocketAddr],
    phase: &str,
    lasting: Duration,
    tally: &Arc<Mutex<Tally>>,
    progress: &Progress,
) -> Latency {
    let caller = Caller::new(&example.deployment.key);
    let latencies = Arc::new(Mutex::new(histogram()));
    let mut random = StdRng::seed_from_u64(SEED);
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
            host: hosts[number % hosts.len()],
            request: example.requests[number % example.requests.len()].clone(),
            service: example.service.clone(),
            reference: format!("online-{phase}-{number}"),
            tally: tally.clone(),
            latencies: latencies.clone(),
            progress: progress.clone(),
        };
        calls.spawn(call.run());
    }
    calls.join_all().await;
    let latencies = latencies.lock().unwrap_or_else(PoisonError::into_inner);
    Latency::of(&latencies)
}

struct Call {
    caller: Caller,
    host: SocketAddr,
    request: Request,
    service: String,
    reference: String,
    tally: Arc<Mutex<Tally>>,
    latencies: Arc<Mutex<Histogram<u64>>>,
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
                let micros = u64::try_from(answer.first.as_micros()).unwrap_or(u64::MAX);
                lock(&self.latencies).saturating_record(micros);
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
