//! Measures what callers that do not read cost a host and its other callers. It asserts no speed, and prints its figures:
//! `cargo test -p tinbank-entry --test slow_callers --locked -- --ignored --nocapture --test-threads 1`.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "the stand-ins are shared with other tests")]
mod standin;

use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::Path,
    process::{Child, Command, Stdio},
    time::Duration,
};

use serde_json::json;
use standin::{
    client,
    engine::Engine,
    run_local,
    store::{self, PARTITIONS, Route, Store},
    unique_address,
};
use tokio::{
    io::AsyncReadExt,
    task,
    time::{self, Instant},
};

/// Number of callers that do not read.
const SLOW_CALLERS: usize = 1_000;
/// Padding of each event that they request.
const EVENT_PADDING: usize = 4 << 10;
/// Number of these events in a response, which are more than the sockets on the way hold.
const EVENT_COUNT: u64 = 400;
/// Number of requests of other callers, whose first events are timed.
const OTHERS: usize = 200;
/// Interval between these requests, in which the slow callers are read ahead and cut.
const OTHERS_INTERVAL: Duration = Duration::from_millis(20);
/// Slots of each engine, so that no request waits for a slot.
const SLOTS: usize = 1_200;
/// What the host keeps for slow callers, as in `deploy/entry.jsonc`.
const BUFFER_KB: u32 = 8_192;
/// Time in which a process that is idle again returns memory.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Returns free addresses for callers, readiness checks and datagrams.
fn free_addresses() -> [SocketAddr; 3] {
    let own = unique_address();
    let tcp = [(); 2].map(|()| TcpListener::bind((own, 0)).unwrap());
    let udp = UdpSocket::bind((own, 0)).unwrap();
    let [callers, readiness] = tcp.map(|it| it.local_addr().unwrap());
    [callers, readiness, udp.local_addr().unwrap()]
}

/// A process of the program, which is killed when it is dropped.
struct Process {
    child: Child,
    callers: SocketAddr,
    log: std::path::PathBuf,
}

impl Process {
    async fn start(store: SocketAddr) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("slow-callers");
        fs::create_dir_all(&folder).unwrap();
        let [callers, readiness, peers] = free_addresses();
        let settings = json!({
            "host": "host-1", "failure_domain": "north",
            "listen": {"callers": callers, "readiness": readiness, "peers": peers},
            "store": {"address": store, "partitions": PARTITIONS, "record_bytes": 1024, "call_bytes": 65536,
                "least_member_ttl_ms": 1000},
            "grace_s": 4, "balancer_s": 0.5, "allowance": {"window_s": 5, "overshoot": 0.1, "slack": 20},
            "job_readable_s": 120, "scheduling": {"buffer_kb": BUFFER_KB},
        });
        let path = folder.join("host.jsonc");
        fs::write(&path, settings.to_string()).unwrap();
        let log = folder.join("host.log");
        let child = Command::new(env!("CARGO_BIN_EXE_tinbank-entry"))
            .arg("--settings")
            .arg(&path)
            .stdout(fs::File::create(&log).unwrap())
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap();
        client::ready(readiness).await;
        Self {
            child,
            callers,
            log,
        }
    }

    /// Returns the resident memory in KiB.
    fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let mut lines = status.lines();
        let line = lines.find_map(|it| it.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Returns how often an event was logged, lines left out included.
    fn logged(&self, event: &str) -> usize {
        let log = fs::read_to_string(&self.log).unwrap();
        let written = log
            .lines()
            .filter(|it| it.contains(&format!("event=\"{event}")));
        let left_out = log
            .lines()
            .filter(|it| it.contains(&format!("kind=\"{event}")));
        let counts = left_out.filter_map(|it| it.split_once("count=")?.1.parse::<usize>().ok());
        written.count() + counts.sum::<usize>()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // This fails only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a configuration with two routes: `slow` to the engine with large events, and `quick` to the other one.
fn configure(store: &Store) {
    let slow = Route::unlimited("slow", "streaming", 1, false);
    let quick = Route::unlimited("quick", "streaming", 1, false);
    let mut manifest = store::manifest(1, &[slow, quick]);
    for route in manifest["routes"].as_array_mut().unwrap() {
        route["service"] = route["name"].clone();
    }
    store.configure(&manifest);
}

/// Returns how long the first event of a response takes, or `None` if there is none.
async fn first_event(to: SocketAddr, id: String) -> Option<Duration> {
    let started_at = Instant::now();
    let mut stream = client::request_unread(to, "/quick/x", &id).await.ok()?;
    let mut read = Vec::new();
    let mut first = None;
    while stream.read_buf(&mut read).await.ok()? > 0 {
        if first.is_none() && read.windows(6).any(|it| it == b"data: ") {
            first = Some(started_at.elapsed());
        }
    }
    first
}

/// What other callers saw.
struct Others {
    p50: Duration,
    p99: Duration,
    failed: usize,
}

/// Times the first events of other callers, and records the highest memory of the process meanwhile.
async fn time_others(process: &Process, name: &str, peak_kb: &mut u64) -> Others {
    let mut requests = Vec::new();
    for number in 0..OTHERS {
        let id = format!("{name}-{number}");
        requests.push(task::spawn_local(first_event(process.callers, id)));
        time::sleep(OTHERS_INTERVAL).await;
        *peak_kb = process.resident_kb().max(*peak_kb);
    }
    let mut times = Vec::new();
    for request in requests {
        times.extend(request.await.unwrap());
    }
    times.sort();
    let failed = OTHERS - times.len();
    let quantile = |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
    Others {
        p50: quantile(50),
        p99: quantile(99),
        failed,
    }
}

#[test]
#[ignore = "a measurement; run manually, see docs/design/slow-readers.md"]
fn callers_that_do_not_read() {
    measure(false);
}

/// The same requests, whose callers read: what the requests cost, without the callers that do not read.
#[test]
#[ignore = "a measurement; run manually, see docs/design/slow-readers.md"]
fn callers_that_read() {
    measure(true);
}

fn measure(reads: bool) {
    run_local(async move {
        let (store, store_address) = Store::start().await;
        for service in ["slow", "quick"] {
            let (engine, address) = Engine::start(service).await;
            if service == "slow" {
                engine.event_padding.set(EVENT_PADDING);
                engine.event_count.set(EVENT_COUNT);
                engine.event_interval.set(Duration::from_millis(1));
            }
            store.put_sized_engine(service, service, address, "ready", SLOTS);
        }
        configure(&store);
        let process = Process::start(store_address).await;
        // Memory of the first requests is not that of slow callers.
        let mut peak_kb = 0;
        time_others(&process, "first", &mut peak_kb).await;
        let without = time_others(&process, "without", &mut peak_kb).await;
        let before_kb = process.resident_kb();

        let mut slow = Vec::new();
        for number in 0..SLOW_CALLERS {
            let stream =
                client::request_unread(process.callers, "/slow/x", &format!("slow-{number}")).await;
            let mut stream = stream.unwrap();
            if reads {
                task::spawn_local(async move {
                    let mut read = [0; 16 << 10];
                    while stream.read(&mut read).await.is_ok_and(|it| it > 0) {}
                });
            } else {
                slow.push(stream);
            }
        }
        let mut during_kb = 0;
        let with = time_others(&process, "with", &mut during_kb).await;
        drop(slow);
        time::sleep(IDLE_TIME).await;

        let after_kb = process.resident_kb();
        let cut = process.logged("response cut");
        let sent = process.logged("request sent to an upstream");
        println!("callers read: {reads}");
        println!("VmRSS KiB: before {before_kb}, during {during_kb}, after {after_kb}");
        println!("requests sent to an upstream: {sent}; responses cut: {cut}");
        for (name, others) in [("without", without), ("with", with)] {
            let Others { p50, p99, failed } = others;
            println!("first event {name}: p50 {p50:?}, p99 {p99:?}, failed {failed} of {OTHERS}");
        }
    });
}
