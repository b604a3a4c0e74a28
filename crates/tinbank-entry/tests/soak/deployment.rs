//! Processes of the program, stand-ins of the platform, and proxies between them.

use std::{
    cell::{Cell, RefCell},
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time;

use crate::{
    crash::{self, CrashingService},
    proxy::{self, Proxy},
    standin::{
        client,
        engine::{self, Engine},
        store::{self, Customer, PARTITIONS, Route, Store},
        unique_address,
    },
};

/// Failure domain of some hosts and engines.
pub const NORTH: &str = "north";
/// Failure domain of the others.
const SOUTH: &str = "south";
/// Failure domain of each host, where every host is a delegate.
const FEW_HOSTS: [&str; 3] = [NORTH, SOUTH, NORTH];
/// Failure domain of each host, where two hosts follow the four delegates of their failure domain. Used by every third seed.
const MANY_HOSTS: [&str; 7] = [NORTH, NORTH, NORTH, SOUTH, NORTH, NORTH, NORTH];
/// Number of engines.
pub const ENGINES: usize = 3;
/// Failure domain of each engine.
const ENGINE_DOMAINS: [&str; ENGINES] = [NORTH, NORTH, SOUTH];
/// Instances of each engine that releases start one after the other, each of the other software version.
const INSTANCES: usize = 4;
/// Software versions of the engines.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Tokens that may wait on the batch route, so that some jobs are refused. Items have 10 each.
const QUOTA: u64 = 60;
/// Number of engines that may run one attempt of a caller, where it may run more than once.
pub const MAX_ATTEMPTS: u32 = 2;
/// How long a process may take to stop before it is killed.
const GRACE: Duration = Duration::from_secs(4);

/// A deployment on one machine.
pub struct Deployment {
    pub store: Rc<Store>,
    engines: Vec<Releases>,
    pub hosts: Vec<Host>,
    pub crashing_service: Rc<CrashingService>,
    config_version: Cell<u64>,
    folder: PathBuf,
}

/// The instances of an engine, of which one is listed.
struct Releases {
    failure_domain: &'static str,
    instances: Vec<Instance>,
    current: Cell<usize>,
}

/// An engine and its proxy.
pub struct Instance {
    pub engine: Rc<Engine>,
    pub proxy: Rc<Proxy>,
    address: SocketAddr,
}

impl Releases {
    /// Starts the instances of an engine, the first of which is of one of the versions.
    async fn start(store: &Store, index: usize, failure_domain: &'static str) -> Self {
        let mut instances = Vec::new();
        for release in 0..INSTANCES {
            let name = format!("e{index}r{release}");
            store.set_version(&name, VERSIONS[(index + release) % VERSIONS.len()]);
            let (engine, address) = Engine::start(&name).await;
            let (proxy, address) = Proxy::start(address).await;
            instances.push(Instance {
                engine,
                proxy,
                address,
            });
        }
        Self {
            failure_domain,
            instances,
            current: Cell::new(0),
        }
    }

    fn current(&self) -> &Instance {
        &self.instances[self.current.get()]
    }
}

/// A host: its process, its settings, and its proxy to the store.
pub struct Host {
    pub callers: SocketAddr,
    pub store_proxy: Rc<Proxy>,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: RefCell<Option<Child>>,
}

/// Returns the settings of the decisions under load: all on for every second seed, so that what must always hold is checked with
/// and without them.
pub fn scheduling(seed: u64) -> Value {
    if seed % 2 == 1 {
        return json!({});
    }
    json!({
        "fair_shares": true, "placement": "expected_first_event", "prefix_affinity": true,
        "share_room": true, "shed_load": true, "buffer_kb": 8192,
    })
}

impl Deployment {
    pub async fn start(seed: u64) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // Removes files of an earlier run, if there are any.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let (store, store_address) = Store::start().await;
        let mut engines = Vec::new();
        for (index, domain) in ENGINE_DOMAINS.into_iter().enumerate() {
            engines.push(Releases::start(&store, index, domain).await);
        }
        let crashing_service = CrashingService::start(&store).await;
        let mut hosts = Vec::new();
        let failure_domains = match seed % 3 {
            0 => MANY_HOSTS.as_slice(),
            _ => FEW_HOSTS.as_slice(),
        };
        for (index, failure_domain) in failure_domains.iter().enumerate() {
            let host = Host::prepare(
                &folder,
                index,
                failure_domain,
                store_address,
                scheduling(seed),
            );
            hosts.push(host.await);
        }
        let deployment = Self {
            store,
            engines,
            hosts,
            crashing_service,
            config_version: Cell::new(0),
            folder,
        };
        (0..ENGINES).for_each(|index| deployment.put_engine(index));
        deployment.configure();
        deployment.hosts.iter().for_each(Host::start);
        deployment.wait_until_ready().await;
        deployment
    }

    /// Returns the addresses at which the hosts serve callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes a new version of the configuration to the store.
    pub fn configure(&self) {
        self.config_version.set(self.config_version.get() + 1);
        self.store.configure(&manifest(self.config_version.get()));
    }

    /// Writes the entry of an engine, which returns after an outage.
    pub fn put_engine(&self, index: usize) {
        let releases = &self.engines[index];
        let Instance {
            engine, address, ..
        } = releases.current();
        self.store
            .put_engine_in(releases.failure_domain, &engine.name, *address);
    }

    /// Replaces an engine by one of the other software version. The old one leaves the list and runs on.
    pub fn release(&self, index: usize) {
        let current = &self.engines[index].current;
        if current.get() + 1 < INSTANCES {
            self.remove_engine(index);
            current.set(current.get() + 1);
            self.put_engine(index);
        }
    }

    /// Returns the listed instance of an engine.
    pub fn engine(&self, index: usize) -> &Instance {
        self.engines[index].current()
    }

    /// Returns all instances of all engines.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.engines.iter().flat_map(|it| &it.instances)
    }

    /// Removes the entry of an engine, which lapses in an outage.
    pub fn remove_engine(&self, index: usize) {
        self.store.remove_engine(&self.engine(index).engine.name);
    }

    /// Ends all faults, and waits until every host is ready.
    pub async fn heal(&self) {
        self.store.mode.set(store::Mode::Up);
        (0..ENGINES).for_each(|index| self.put_engine(index));
        for instance in self.instances() {
            instance.engine.mode.set(engine::Mode::Serves);
            instance.proxy.set(proxy::Mode::Pass);
        }
        for host in &self.hosts {
            host.store_proxy.set(proxy::Mode::Pass);
            host.signal(Signal::CONT);
            host.start();
        }
        self.wait_until_ready().await;
    }

    pub fn remove_files(&self) {
        // Files that remain do no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }

    async fn wait_until_ready(&self) {
        for host in &self.hosts {
            host.wait_until_ready().await;
        }
    }
}

impl Host {
    pub async fn prepare(
        folder: &Path,
        index: usize,
        failure_domain: &str,
        store: SocketAddr,
        scheduling: Value,
    ) -> Self {
        let (store_proxy, store) = Proxy::start(store).await;
        let own = unique_address();
        let tcp = || TcpListener::bind((own, 0)).unwrap();
        let udp = UdpSocket::bind((own, 0)).unwrap();
        let (callers, readiness) = (tcp(), tcp());
        let callers = callers.local_addr().unwrap();
        let readiness = readiness.local_addr().unwrap();
        let settings = json!({
            "host": format!("host-{index}"), "failure_domain": failure_domain,
            "listen": {"callers": callers, "readiness": readiness, "peers": udp.local_addr().unwrap()},
            "store": {"address": store, "partitions": PARTITIONS, "record_bytes": 1024, "call_bytes": 65536,
                "least_member_ttl_ms": 1000},
            "grace_s": GRACE.as_secs(), "balancer_s": 0.5, "allowance": {"window_s": 5, "overshoot": 0.1, "slack": 20}, "job_readable_s": 120,
            "scheduling": scheduling,
        });
        let path = folder.join(format!("host-{index}.jsonc"));
        fs::write(&path, settings.to_string()).unwrap();
        Self {
            callers,
            store_proxy,
            readiness,
            settings: path,
            log: folder.join(format!("host-{index}.log")),
            process: RefCell::new(None),
        }
    }

    /// Starts the process, unless it is running.
    pub fn start(&self) {
        let mut process = self.process.borrow_mut();
        if let Some(child) = process.as_mut()
            && child.try_wait().unwrap().is_none()
        {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let program = std::env::var_os("TINBANK_SOAK_PROGRAM");
        let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_tinbank-entry").into());
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log.unwrap())
            .stderr(Stdio::null())
            .spawn();
        *process = Some(child.unwrap());
    }

    pub async fn wait_until_ready(&self) {
        client::ready(self.readiness).await;
    }

    /// Returns whether the host reads the store for others, by its log.
    pub fn is_delegate(&self) -> bool {
        let log = fs::read_to_string(&self.log).unwrap();
        let mut roles = log.lines().filter(|it| {
            it.contains("list of hosts read for the first time")
                || it.contains("delegate role of this host changed")
        });
        roles
            .next_back()
            .is_some_and(|it| it.contains("delegate=true"))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.borrow_mut().take() {
            // This fails only if the process has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop, and kills it if it has not exited within its grace period.
    pub async fn stop(&self) {
        self.signal(Signal::TERM);
        let until = time::Instant::now() + GRACE;
        while time::Instant::now() < until {
            let has_exited = match self.process.borrow_mut().as_mut() {
                Some(child) => child.try_wait().unwrap().is_some(),
                None => true,
            };
            if has_exited {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = self.process.borrow_mut().as_mut()
            && child.try_wait().unwrap().is_none()
        {
            let pid = Pid::from_child(child);
            kill_process(pid, signal).unwrap();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn manifest(version: u64) -> Value {
    let route = Route::unlimited;
    let routes = [
        route("plain", "streaming", 1, false),
        route("resumable", "streaming", MAX_ATTEMPTS, true),
        route("keyed", "streaming", MAX_ATTEMPTS, true),
        route(crash::SERVICE, "streaming", 2, true),
        // Engines fail at random here. The high limit on attempts keeps items from being abandoned as always failing.
        Route {
            quota: QUOTA,
            ..route("batch", "batch", 1000, false)
        },
    ];
    let customers = [("cool", &["cool"], 100), ("hot", &["hot"], 2)];
    let customers = customers.map(|(name, keys, rate)| Customer { name, keys, rate });
    let mut manifest = store::manifest(version, &routes);
    for route in manifest["routes"].as_array_mut().unwrap() {
        if route["name"] == crash::SERVICE {
            route["service"] = json!(crash::SERVICE);
        }
    }
    let open = ["plain", "resumable", "batch", crash::SERVICE];
    store::with_customers(manifest, &customers, &open)
}
