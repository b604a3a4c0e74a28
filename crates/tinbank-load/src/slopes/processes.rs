//! Whole server processes against stand-ins over loopback: processor time of their control and traffic threads at rest, a
//! request, a token and an item. One server runs at a time, the stand-ins and the callers on threads of other names.

use std::{
    net::SocketAddr,
    sync::OnceLock,
    time::{Duration, Instant},
};

use futures::{StreamExt as _, stream};
use serde_json::{Map, Value, json};
use tinbank_base::platform::upstream::{Call, Part, Target, Upstreams as _};
use tinbank_demo::{
    caller::Caller,
    entry::Addresses,
    example::{self, Deployment, Example},
    platform, publish,
};
use tinbank_platform::upstream;
use tinbank_settings::common::Common;
use tinbank_standin::Standin;
use tokio::runtime::{Builder, Runtime};

use super::{Series, micros, point, threads::Spent};

const ENGINES: [u32; 4] = [4, 12, 60, 240];
const IDLE: Duration = Duration::from_secs(6);
const SETTLE: Duration = Duration::from_secs(2);
const TOKENS: [u32; 4] = [4, 8, 16, 24];
const REQUESTS: usize = 400;
const AT_ONCE: usize = 16;
const ITEMS: [usize; 3] = [500, 1_000, 2_000];
const CALLS: usize = 400;
const CALLS_AT_ONCE: [usize; 3] = [1, 4, 16];
const PATIENCE: Duration = Duration::from_secs(60);
const KEY: &str = "slopes-key";
const ENGINE_SERVICE: &str = "notes";

/// At rest: host list, load reports, heartbeats to nobody, and ticks.
pub(super) fn online_rest() -> Series {
    at_rest("online rest", |rest| rest.online)
}

pub(super) fn batch_rest() -> Series {
    at_rest("batch rest", |rest| rest.batch)
}

/// The holder of orders, which alone asks every engine.
pub(super) fn fleet_rest() -> Series {
    at_rest("fleet rest", |rest| rest.fleet)
}

/// Control threads of the online and the batch process only.
pub(super) fn control_rest() -> Series {
    at_rest("control rest", |rest| rest.control)
}

pub(super) fn online_request() -> Series {
    let points = requests()
        .iter()
        .map(|(tokens, spent, _)| (*tokens, micros(*spent)));
    series(
        "online request",
        "token of the answer",
        "µs of traffic and control threads a request",
        points,
    )
}

pub(super) fn online_control() -> Series {
    let points = requests()
        .iter()
        .map(|(tokens, _, control)| (*tokens, micros(*control)));
    series(
        "online control",
        "token of the answer",
        "µs of the control thread a request",
        points,
    )
}

/// First token through the server less first token straight from the engine.
pub(super) fn online_latency() -> Series {
    let runtime = runtime();
    let points = runtime.block_on(async {
        let world = World::start(4).await;
        let server = world.online().await;
        let address = server.http_address();
        let mut points = Vec::new();
        for at_once in CALLS_AT_ONCE {
            let added = added(&world, address, at_once).await;
            points.push((at_once as f64, added * 1e3));
        }
        server.stop().await;
        world.standin.stop().await;
        points
    });
    runtime.shutdown_background();
    series(
        "online latency",
        "caller at once",
        "ms added to the first token, median",
        points.into_iter(),
    )
}

pub(super) fn batch_item() -> Series {
    let points = items()
        .iter()
        .map(|(items, spent)| (*items, micros(spent.control + spent.traffic)));
    series(
        "batch item",
        "item through intake, engine and log",
        "µs of traffic and control threads",
        points,
    )
}

pub(super) fn batch_control() -> Series {
    let points = items()
        .iter()
        .map(|(items, spent)| (*items, micros(spent.control)));
    series(
        "batch control",
        "item through intake, engine and log",
        "µs of the control thread",
        points,
    )
}

fn series(
    name: &'static str,
    x: &'static str,
    y: &'static str,
    points: impl Iterator<Item = (f64, f64)>,
) -> Series {
    Series::new(
        name,
        x,
        y,
        points.map(|(x, y)| super::Point { x, y }).collect(),
    )
}

fn at_rest(name: &'static str, of: impl Fn(&Rest) -> f64) -> Series {
    let points = rests()
        .iter()
        .map(|rest| point(rest.engines as usize, of(rest)));
    Series::new(
        name,
        "engine on the host list",
        "µs a second",
        points.collect(),
    )
}

struct Rest {
    engines: u32,
    online: f64,
    batch: f64,
    fleet: f64,
    control: f64,
}

fn rests() -> &'static [Rest] {
    static RESTS: OnceLock<Vec<Rest>> = OnceLock::new();
    RESTS.get_or_init(|| {
        let runtime = runtime();
        let rests = ENGINES
            .iter()
            .map(|engines| runtime.block_on(rest(*engines)));
        let rests = rests.collect();
        runtime.shutdown_background();
        rests
    })
}

async fn rest(engines: u32) -> Rest {
    let world = World::start(engines).await;
    let server = world.online().await;
    let online = idle().await;
    server.stop().await;
    let server = world.batch().await;
    let batch = idle().await;
    server.stop().await;
    let settings = tinbank_fleet::Settings {
        common: world.common(),
    };
    let server = tinbank_fleet::Server::start(settings)
        .await
        .expect("the fleet process starts");
    let fleet = idle().await;
    server.stop().await;
    world.standin.stop().await;
    let all = |spent: Spent| micros(spent.control + spent.traffic) / IDLE.as_secs_f64();
    Rest {
        engines,
        online: all(online),
        batch: all(batch),
        fleet: all(fleet),
        control: micros(online.control + batch.control) / IDLE.as_secs_f64(),
    }
}

async fn idle() -> Spent {
    tokio::time::sleep(SETTLE).await;
    let before = spent();
    tokio::time::sleep(IDLE).await;
    spent().since(before)
}

fn requests() -> &'static [(f64, Duration, Duration)] {
    static REQUESTS_RUN: OnceLock<Vec<(f64, Duration, Duration)>> = OnceLock::new();
    REQUESTS_RUN.get_or_init(|| {
        let runtime = runtime();
        let measured = runtime.block_on(async {
            let world = World::start(4).await;
            let server = world.online().await;
            let address = server.http_address();
            closed_loop(address, TOKENS[0]).await;
            let mut measured = Vec::new();
            for tokens in TOKENS {
                let before = spent();
                closed_loop(address, tokens).await;
                let spent = spent().since(before);
                let each = |time: Duration| time / REQUESTS as u32;
                measured.push((
                    f64::from(tokens),
                    each(spent.control + spent.traffic),
                    each(spent.control),
                ));
            }
            server.stop().await;
            world.standin.stop().await;
            measured
        });
        runtime.shutdown_background();
        measured
    })
}

async fn closed_loop(address: SocketAddr, tokens: u32) {
    let caller = Caller::new(KEY);
    let calls = (0..REQUESTS).map(|number| {
        let caller = caller.clone();
        async move { caller.chat(address, "ask", &body(number, tokens)).await }
    });
    let answers: Vec<_> = stream::iter(calls)
        .buffer_unordered(AT_ONCE)
        .collect()
        .await;
    for answer in answers {
        answer.expect("the engine answers");
    }
}

fn items() -> &'static [(f64, Spent)] {
    static ITEMS_RUN: OnceLock<Vec<(f64, Spent)>> = OnceLock::new();
    ITEMS_RUN.get_or_init(|| {
        let runtime = runtime();
        let measured = runtime.block_on(async {
            let world = World::start(4).await;
            let server = world.batch().await;
            let address = server.http_address();
            job(address, ITEMS[0], 0).await;
            let mut measured = Vec::new();
            for (number, items) in ITEMS.into_iter().enumerate() {
                let before = spent();
                job(address, items, number + 1).await;
                measured.push((items as f64, spent().since(before)));
            }
            server.stop().await;
            world.standin.stop().await;
            measured
        });
        runtime.shutdown_background();
        measured
    })
}

async fn job(address: SocketAddr, items: usize, number: usize) {
    let caller = Caller::new(KEY);
    let line = |item: usize| {
        let body = Value::Object(body(item, 1));
        json!({ "custom_id": format!("item-{item}"), "body": body }).to_string() + "\n"
    };
    let lines = (0..items).map(line).collect();
    let key = format!("slopes-{number}-{}", std::process::id());
    let job = caller.submit(address, ENGINE_SERVICE, &key, lines).await;
    let job = job.expect("the job is taken");
    let until = Instant::now() + PATIENCE;
    loop {
        let state = caller
            .job(address, &job.id)
            .await
            .expect("the owner answers")
            .state;
        if state == "completed" {
            return;
        }
        assert!(Instant::now() < until, "the job is still {state}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Median of what the server adds to the first token, in seconds. Each caller asks the engine straight and through the server
/// in turn, so that other load on the machine strikes both.
async fn added(world: &World, address: SocketAddr, at_once: usize) -> f64 {
    let calls = (0..CALLS).map(|number| async move {
        let straight = direct(world, 2 * number).await;
        let through = through(address, 2 * number + 1).await;
        through.as_secs_f64() - straight.as_secs_f64()
    });
    let mut added: Vec<_> = stream::iter(calls)
        .buffer_unordered(at_once)
        .collect()
        .await;
    added.sort_by(f64::total_cmp);
    added[CALLS / 2]
}

async fn through(address: SocketAddr, number: usize) -> Duration {
    let caller = shared_caller();
    let answer = caller.chat(address, "ask", &body(number, 4)).await;
    answer.expect("the engine answers").first
}

async fn direct(world: &World, number: usize) -> Duration {
    static ENGINE: OnceLock<upstream::Http> = OnceLock::new();
    let engines = world.standin.engines();
    let place = number % engines.len();
    let target = Target {
        upstream: place as u32 + 1,
        address: engines[place].address,
    };
    let call = Call {
        request: number as u128 + 1,
        service: ENGINE_SERVICE.to_owned(),
        body: Value::Object(body(number, 4)).to_string().into(),
        resume_from: 0,
        deadline: Instant::now() + PATIENCE,
    };
    let begun = Instant::now();
    let http = ENGINE.get_or_init(upstream::Http::new);
    let mut parts = http.chat(target, call).await.expect("the engine answers");
    let mut first = None;
    while let Some(part) = parts.next().await {
        if let Part::Token { .. } = part.expect("the answer is whole") {
            first.get_or_insert_with(|| begun.elapsed());
        }
    }
    first.expect("there is a token")
}

fn shared_caller() -> &'static Caller {
    static CALLER: OnceLock<Caller> = OnceLock::new();
    CALLER.get_or_init(|| Caller::new(KEY))
}

fn body(number: usize, tokens: u32) -> Map<String, Value> {
    let body = json!({
        "model": ENGINE_SERVICE,
        "stream": true,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": format!("logger {number} reads low since noon, why?") }],
    });
    match body {
        Value::Object(body) => body,
        _ => Map::new(),
    }
}

fn spent() -> Spent {
    Spent::now().expect("the kernel counts threads' time")
}

fn runtime() -> Runtime {
    const THREADS: usize = 4;
    Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name("others")
        .enable_all()
        .build()
        .expect("the system gives threads")
}

/// The platform's stand-ins, with a configuration published.
pub(super) struct World {
    standin: Standin,
    addresses: Addresses,
}

impl World {
    pub(super) async fn start(engines: u32) -> Self {
        let example = example(engines);
        let standin = platform::start(&example).await.expect("stand-ins start");
        let addresses = Addresses::of(&standin).expect("all of the platform is there");
        let published = publish::publish(addresses.log, &example).await;
        published.expect("the configuration is accepted");
        Self { standin, addresses }
    }

    /// Where the first engine is.
    pub(super) fn engine(&self) -> SocketAddr {
        self.standin.engines()[0].address
    }

    /// Where the host list is.
    pub(super) fn hosts(&self) -> SocketAddr {
        self.addresses.hosts
    }

    pub(super) async fn stop(self) {
        self.standin.stop().await;
    }

    fn common(&self) -> Common {
        Common {
            log: self.addresses.log,
            hosts: self.addresses.hosts,
            weights: self.addresses.weights,
            ..Common::default()
        }
    }

    async fn online(&self) -> tinbank_online::Server {
        let settings = tinbank_online::Settings {
            common: self.common(),
            ..tinbank_online::Settings::default()
        };
        let server = tinbank_online::Server::start(settings)
            .await
            .expect("the online process starts");
        until(|| server.is_ready()).await;
        server
    }

    async fn batch(&self) -> tinbank_batch::Server {
        let settings = tinbank_batch::Settings {
            common: self.common(),
            ..tinbank_batch::Settings::default()
        };
        let server = tinbank_batch::Server::start(settings)
            .await
            .expect("the batch process starts");
        until(|| server.is_ready()).await;
        server
    }
}

async fn until(condition: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < until, "the process does not become ready");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn example(engines: u32) -> Example {
    let service = json!({ "kind": "engine", "pool": ENGINE_SERVICE, "max_tokens": 100, "timeout_ms": 30_000,
        "artifact": { "model": "m", "version": "1", "adapter": null } });
    let digest = tinbank_base::digest::of(KEY.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    Example {
        deployment: Deployment {
            name: "slopes".to_owned(),
            failure_domains: vec!["local".to_owned()],
            domain_latency_ms: 0.0,
            hosts_per_domain: 1,
            engines: example::Engines {
                count: engines,
                pool: ENGINE_SERVICE.to_owned(),
                slots: 32,
                base_step: Duration::from_millis(2),
                step_per_sequence: Duration::ZERO,
                prefill_tokens_per_ms: 1_000.0,
                prefix_cache_tokens: 16_384,
                report_lag: Duration::from_millis(500),
                checks_fence_every: 1,
            },
            plain: example::Plain {
                count: 0,
                pool: "none".to_owned(),
            },
            log: example::Log {
                appends_per_second: 300.0,
            },
            online: example::Online {
                requests_per_second: 1.0,
                burst_factor: 1.0,
                burst_every: Duration::from_secs(1),
                burst_for: Duration::ZERO,
            },
            lean: example::Lean::Tail,
            template: "common".to_owned(),
            customer: "slopes".to_owned(),
            key: KEY.to_owned(),
        },
        template: json!({
            "services": { ENGINE_SERVICE: service },
            "streams": {
                "ask": { "service": ENGINE_SERVICE, "traffic": "online", "timeout_ms": 30_000 },
                "sweep": { "service": ENGINE_SERVICE, "traffic": "batch" },
            },
        }),
        customer: json!({ "template": "common", "key_sha256": [digest] }),
        service: ENGINE_SERVICE.to_owned(),
        artifact: Some(tinbank_base::platform::weights::Artifact {
            model: "m".to_owned(),
            version: "1".to_owned(),
            adapter: None,
        }),
        items: Vec::new(),
        requests: Vec::new(),
    }
}
