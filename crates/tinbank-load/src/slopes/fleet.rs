//! Admission control of a whole fleet in real time: the real [`LoadReporter`] and [`Service`] of each host, with frames signed
//! and counted but handed over in memory. No sockets are used, so sending and receiving are not in the times.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use cpu_time::ThreadTime;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tinbank_admission::{Engine, Gate, LoadReporter, Pass, Service, Settings};
use tinbank_base::{
    clock::Stamp,
    frame::{
        Body, Datagram, credit,
        datagram::{Key, seal_for},
        demand,
        heartbeat::{Health, Phase},
        request::{Request, Response},
    },
    id::{self, Process, Role},
    peer::{Directory, Error, Member, Members, Peers},
    record::Writer,
};

use super::{Point, Series, micros, point};

/// Hosts; engines and load follow in the target's proportion.
const HOSTS: [u32; 4] = [12, 74, 185, 370];
const ENGINES_PER_HOST: f64 = 600.0 / 370.0;
const REQUESTS_PER_HOST: f64 = 1_100.0 / 370.0;
/// 427 tokens of 34 ms.
const REQUEST: Duration = Duration::from_millis(14_500);
const ITEM: Duration = Duration::from_millis(2_000);
const SLOTS: u16 = 64;
/// Engines that a batch process sends items to at a time.
const ENGINES_IN_USE: u32 = 12;
const WANTED: u16 = 3;
const WARM_UP: Duration = Duration::from_secs(18);
const MEASURED: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(50);
const SEED: u64 = 7;

pub(super) fn bytes() -> Series {
    series(
        "admission fleet bytes",
        "bytes sent a second by a host",
        |cost| cost.bytes,
    )
}

pub(super) fn datagrams() -> Series {
    series(
        "admission fleet datagrams",
        "datagrams sent a second by a host",
        |cost| cost.datagrams,
    )
}

pub(super) fn load_bytes() -> Series {
    series(
        "admission fleet load bytes",
        "bytes of loads sent a second by a host",
        |cost| cost.load_bytes,
    )
}

pub(super) fn time() -> Series {
    series(
        "admission fleet time",
        "µs a second of a host, frames signed, the drivers of the load included",
        |cost| cost.micros,
    )
}

fn series(name: &'static str, y: &'static str, of: impl Fn(&Cost) -> f64) -> Series {
    let points: Vec<Point> = costs()
        .iter()
        .map(|(hosts, cost)| point(*hosts as usize, of(cost)))
        .collect();
    Series::new(
        name,
        "host with 1.62 engines, 2.97 requests a second and 12 engines in use by batch",
        y,
        points,
    )
}

#[derive(Clone, Copy, Debug)]
struct Cost {
    bytes: f64,
    load_bytes: f64,
    datagrams: f64,
    micros: f64,
}

/// Measured once for all series, each fleet on a thread of its own.
fn costs() -> &'static [(u32, Cost)] {
    static COSTS: OnceLock<Vec<(u32, Cost)>> = OnceLock::new();
    COSTS.get_or_init(|| {
        let threads: Vec<_> = HOSTS
            .iter()
            .map(|hosts| (*hosts, thread::spawn(|| cost(*hosts))))
            .collect();
        let joined = threads.into_iter();
        joined
            .map(|(hosts, thread)| (hosts, thread.join().expect("the fleet runs")))
            .collect()
    })
}

fn cost(hosts: u32) -> Cost {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime without input and output needs nothing of the system");
    runtime.block_on(run(hosts))
}

async fn run(hosts: u32) -> Cost {
    let mut fleet = Fleet::start(hosts);
    let begun = Instant::now();
    while begun.elapsed() < WARM_UP {
        fleet.step().await;
    }
    let counts = fleet.counts.clone();
    let before = counts.read();
    let (time, start) = (ThreadTime::now(), Instant::now());
    while start.elapsed() < MEASURED {
        fleet.step().await;
    }
    let after = counts.read();
    let host_seconds = start.elapsed().as_secs_f64() * f64::from(hosts);
    let per = |of: fn(&Read) -> u64| (of(&after) - of(&before)) as f64 / host_seconds;
    Cost {
        bytes: per(|read| read.bytes),
        load_bytes: per(|read| read.load_bytes),
        datagrams: per(|read| read.datagrams),
        micros: micros(time.elapsed()) / host_seconds,
    }
}

#[derive(Debug, Default)]
struct Counts {
    bytes: AtomicU64,
    load_bytes: AtomicU64,
    datagrams: AtomicU64,
}

struct Read {
    bytes: u64,
    load_bytes: u64,
    datagrams: u64,
}

impl Counts {
    fn read(&self) -> Read {
        Read {
            bytes: self.bytes.load(Ordering::Relaxed),
            load_bytes: self.load_bytes.load(Ordering::Relaxed),
            datagrams: self.datagrams.load(Ordering::Relaxed),
        }
    }
}

/// Signs, counts and hands over.
#[derive(Debug)]
struct Wire {
    own: Writer,
    key: Key,
    counts: Arc<Counts>,
    services: Arc<OnceLock<BTreeMap<SocketAddr, Service>>>,
}

#[async_trait]
impl Peers for Wire {
    async fn ask(
        &self,
        to: SocketAddr,
        _request: Request,
        _until: Instant,
    ) -> Result<Vec<Response>, Error> {
        Err(Error::Connect(to))
    }

    fn send_credit(&self, to: SocketAddr, message: credit::Message) {
        let loads = matches!(message, credit::Message::Load(_));
        let datagram = Datagram {
            sender: self.own,
            sequence: 1_000_000,
            stamp: Stamp {
                micros: self.own.incarnation,
                counter: 3,
            },
            body: Body::Credit(message.clone()),
        };
        let size = seal_for(&datagram, &self.key, to).len() as u64;
        self.counts.bytes.fetch_add(size, Ordering::Relaxed);
        self.counts.datagrams.fetch_add(1, Ordering::Relaxed);
        if loads {
            self.counts.load_bytes.fetch_add(size, Ordering::Relaxed);
        }
        let services = self.services.get();
        if let Some(service) = services.and_then(|services| services.get(&to)) {
            service.on_message(self.own, message);
        }
    }

    fn send_demand(&self, _to: SocketAddr, _message: demand::Message) {}
}

#[derive(Debug)]
struct Fixed(Arc<Members>);

impl Directory for Fixed {
    fn members(&self) -> Arc<Members> {
        self.0.clone()
    }
}

struct Host {
    teller: LoadReporter,
    service: Service,
    online: BTreeMap<id::Upstream, u16>,
    requests: Vec<(Instant, id::Upstream)>,
    passes: Vec<(Instant, Pass)>,
    /// Engines that its batch uses.
    used: Vec<id::Upstream>,
}

struct Fleet {
    hosts: Vec<Host>,
    engines: u32,
    counts: Arc<Counts>,
    random: SmallRng,
    last: Instant,
}

impl Fleet {
    fn start(count: u32) -> Self {
        let engines = (f64::from(count) * ENGINES_PER_HOST).round() as u32;
        let members = Members {
            members: (1..=count)
                .flat_map(|host| [Role::Online, Role::Batch].map(|role| member(host, role)))
                .collect(),
        };
        let directory: Arc<dyn Directory> = Arc::new(Fixed(Arc::new(members)));
        let counts = Arc::new(Counts::default());
        let services = Arc::new(OnceLock::new());
        let mut random = SmallRng::seed_from_u64(SEED);
        let hosts: Vec<_> = (1..=count)
            .map(|host| {
                let wire = |role| -> Arc<dyn Peers> {
                    Arc::new(Wire {
                        own: writer(host, role),
                        key: Key {
                            number: 1,
                            secret: [1; 32],
                        },
                        counts: counts.clone(),
                        services: services.clone(),
                    })
                };
                let batch = wire(Role::Batch);
                let own = writer(host, Role::Batch);
                let service = Service::start(Settings::default(), own, batch, directory.clone());
                service.set_engines((1..=engines).map(engine).collect());
                let used = 0..ENGINES_IN_USE.min(engines);
                Host {
                    teller: LoadReporter::start(wire(Role::Online), directory.clone()),
                    service,
                    online: BTreeMap::new(),
                    requests: Vec::new(),
                    passes: Vec::new(),
                    used: used.map(|_| random.random_range(1..=engines)).collect(),
                }
            })
            .collect();
        let addresses = (1..).map(|host| address(host, Role::Batch));
        let by_address = addresses.zip(hosts.iter().map(|host| host.service.clone()));
        services
            .set(by_address.collect())
            .expect("it is set once, here");
        Self {
            hosts,
            engines,
            counts,
            random,
            last: Instant::now(),
        }
    }

    async fn step(&mut self) {
        tokio::time::sleep(STEP).await;
        let now = Instant::now();
        let arrivals = REQUESTS_PER_HOST * (now - self.last).as_secs_f64();
        self.last = now;
        for host in &mut self.hosts {
            if self.random.random_bool(arrivals.min(1.0)) {
                host.request(self.random.random_range(1..=self.engines), now);
            }
            host.end_requests(now);
            host.work(now);
        }
    }
}

impl Host {
    fn request(&mut self, upstream: id::Upstream, now: Instant) {
        let online = self.online.entry(upstream).or_default();
        *online += 1;
        self.teller.online(upstream, *online);
        self.requests.push((now + REQUEST, upstream));
    }

    fn end_requests(&mut self, now: Instant) {
        let ended = self
            .requests
            .iter()
            .take_while(|(at, _)| *at <= now)
            .count();
        for (_, upstream) in self.requests.drain(..ended) {
            if let Some(online) = self.online.get_mut(&upstream) {
                *online -= 1;
                self.teller.online(upstream, *online);
            }
        }
    }

    /// Sends an item wherever it may, and wishes for more.
    fn work(&mut self, now: Instant) {
        let withdrawn = |pass: &Pass| *pass.withdrawn.borrow();
        self.passes
            .retain(|(at, pass)| *at > now && !withdrawn(pass));
        let due = now + Duration::from_secs(3_600);
        for upstream in &self.used {
            self.service
                .request_credits(*upstream, CUSTOMER, WANTED, due, now);
            if let Some(pass) = self.service.enter(*upstream, CUSTOMER, now) {
                self.passes.push((now + ITEM, pass));
            }
        }
    }
}

fn engine(upstream: id::Upstream) -> Engine {
    Engine {
        upstream,
        slots: SLOTS,
    }
}

fn writer(host: id::Host, role: Role) -> Writer {
    Writer {
        process: Process { host, role },
        incarnation: 1_790_000_000_000_000,
    }
}

fn address(host: id::Host, role: Role) -> SocketAddr {
    let [.., a, b] = host.to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7_000 + role as u16))
}

fn member(host: id::Host, role: Role) -> Member {
    Member {
        writer: writer(host, role),
        health: Health::Alive,
        phase: Phase::Ready,
        peer: address(host, role),
        http: address(host, role),
        failure_domain: "logan".into(),
        config: 7,
    }
}

const CUSTOMER: &str = "moreton-basin";
