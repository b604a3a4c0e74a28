//! The processes, the stand-ins, and what stands between them.

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
    mortal::{self, Mortals},
    proxy::{self, Proxy},
    standin::{
        client,
        engine::{self, Engine},
        own_address,
        store::{self, Customer, PARTITIONS, Route, Store},
    },
};

/// Failure domains of the hosts. All engines are in the first one.
const NORTH: &str = "north";
const SOUTH: &str = "south";
/// Failure domains of the hosts of most seeds: each host is a delegate.
const FEW: [&str; 3] = [NORTH, SOUTH, NORTH];
/// Those of each third seed: two hosts follow the four delegates of their failure domain.
const MANY: [&str; 7] = [NORTH, NORTH, NORTH, SOUTH, NORTH, NORTH, NORTH];
/// Engines of the deployment.
pub const ENGINES: usize = 3;
/// How long a process may take to stop by itself.
const GRACE: Duration = Duration::from_secs(4);

/// A whole deployment on one machine.
pub struct Deployment {
    pub store: Rc<Store>,
    pub engines: Vec<Rc<Engine>>,
    pub hosts: Vec<Host>,
    pub mortals: Rc<Mortals>,
    /// One before each engine.
    pub engine_proxies: Vec<Rc<Proxy>>,
    version: Cell<u64>,
    folder: PathBuf,
}

/// One host: a process, its settings, and its way to the store.
pub struct Host {
    pub callers: SocketAddr,
    pub store_proxy: Rc<Proxy>,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: RefCell<Option<Child>>,
}

impl Deployment {
    pub async fn start(seed: u64) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // What an earlier run left is not wanted; mostly there is none.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let (store, store_address) = Store::start().await;
        let mut engines = Vec::new();
        let mut engine_proxies = Vec::new();
        for index in 0..ENGINES {
            let name = format!("e{index}");
            let (engine, address) = Engine::start(&name).await;
            let (proxy, address) = Proxy::start(address).await;
            store.list(&name, address, "ready");
            engines.push(engine);
            engine_proxies.push(proxy);
        }
        let mortals = Mortals::start(&store).await;
        let mut hosts = Vec::new();
        let failure_domains = match seed % 3 {
            0 => MANY.as_slice(),
            _ => FEW.as_slice(),
        };
        for (index, failure_domain) in failure_domains.iter().enumerate() {
            let host = Host::prepare(&folder, index, failure_domain, store_address);
            hosts.push(host.await);
        }
        let deployment = Self {
            store,
            engines,
            hosts,
            mortals,
            engine_proxies,
            version: Cell::new(0),
            folder,
        };
        deployment.configure();
        deployment.hosts.iter().for_each(Host::start);
        deployment.ready().await;
        deployment
    }

    /// Where the hosts take callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes the next version of the configuration.
    pub fn configure(&self) {
        self.version.set(self.version.get() + 1);
        self.store.configure(&manifest(self.version.get()));
    }

    /// Ends all faults and waits until every host is ready.
    pub async fn heal(&self) {
        self.store.mode.set(store::Mode::Up);
        for (engine, proxy) in self.engines.iter().zip(&self.engine_proxies) {
            engine.mode.set(engine::Mode::Runs);
            proxy.set(proxy::Mode::Pass);
        }
        for host in &self.hosts {
            host.store_proxy.set(proxy::Mode::Pass);
            host.signal(Signal::CONT);
            host.start();
        }
        self.ready().await;
    }

    pub fn clean(&self) {
        // A folder that stays costs a little room only.
        let _ = fs::remove_dir_all(&self.folder);
    }

    async fn ready(&self) {
        for host in &self.hosts {
            client::ready(host.readiness).await;
        }
    }
}

impl Host {
    async fn prepare(folder: &Path, index: usize, failure_domain: &str, store: SocketAddr) -> Self {
        let (store_proxy, store) = Proxy::start(store).await;
        let own = own_address();
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

    /// Starts the process unless it runs.
    pub fn start(&self) {
        let mut process = self.process.borrow_mut();
        if let Some(child) = process.as_mut()
            && child.try_wait().unwrap().is_none()
        {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_tinbank-entry"))
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log.unwrap())
            .stderr(Stdio::null())
            .spawn();
        *process = Some(child.unwrap());
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.borrow_mut().take() {
            // One that has ended already can't be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop and waits for its end, up to its grace.
    pub async fn stop(&self) {
        self.signal(Signal::TERM);
        let until = time::Instant::now() + GRACE;
        while time::Instant::now() < until {
            let ended = match self.process.borrow_mut().as_mut() {
                Some(child) => child.try_wait().unwrap().is_some(),
                None => true,
            };
            if ended {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
    }

    /// Sends a signal to the process, if it runs.
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
        route("resumable", "streaming", 2, true),
        route("keyed", "streaming", 2, true),
        route(mortal::SERVICE, "streaming", 2, true),
        // Engines fail at random here, which must not make an item count as one that always fails.
        route("batch", "batch", 1000, false),
    ];
    let customers = [("cool", &["cool"], 100), ("hot", &["hot"], 2)];
    let customers = customers.map(|(name, keys, rate)| Customer { name, keys, rate });
    let mut manifest = store::manifest(version, &routes);
    for route in manifest["routes"].as_array_mut().unwrap() {
        if route["name"] == mortal::SERVICE {
            route["service"] = json!(mortal::SERVICE);
        }
    }
    let open = ["plain", "resumable", "batch", mortal::SERVICE];
    store::with_customers(manifest, &customers, &open)
}
