//! A service whose engines crash on one request, and are replaced shortly after by others with a new name.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    task,
    time::{self, Instant},
};

use crate::standin::{client, engine::Engine, store::Store};

/// Name of the service and of its route.
pub const SERVICE: &str = "mortal";
const PATH: &str = "/mortal/x";
/// Body of the request that crashes engines.
const CRASHING_BODY: &str = "deadly";
const ENGINES: usize = 4;
/// Time until a crashed engine is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// Delay between two attempts of the crashing request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Most engines that the request may still crash once every host has to know of it.
const MAX_CRASHES: usize = 3;
/// Time in which every host has to know of a request that crashes engines. It also limits the wait for a response.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Only the refusal of a quarantined request has a longer retry delay.
const QUARANTINE_RETRY_SECONDS: f64 = 60.0;

/// The engines of the service.
pub struct CrashingService {
    store: Rc<Store>,
    crashes: Cell<usize>,
    started: Cell<usize>,
    /// Other requests that were quarantined.
    wrongly_quarantined: RefCell<Vec<String>>,
}

impl CrashingService {
    pub async fn start(store: &Rc<Store>) -> Rc<Self> {
        let crashing_service = Rc::new(Self {
            store: Rc::clone(store),
            crashes: Cell::new(0),
            started: Cell::new(0),
            wrongly_quarantined: RefCell::default(),
        });
        for _ in 0..ENGINES {
            task::spawn_local(Rc::clone(&crashing_service).run_engines());
        }
        // The engines have to be listed before the hosts start.
        while crashing_service.started.get() < ENGINES {
            task::yield_now().await;
        }
        crashing_service
    }

    /// Runs an engine, and replaces it whenever it crashes.
    async fn run_engines(self: Rc<Self>) {
        loop {
            let number = self.started.get();
            self.started.set(number + 1);
            let name = format!("m{number}");
            let (engine, address) = Engine::start(&name).await;
            *engine.crashes_on.borrow_mut() = Some(Bytes::from_static(CRASHING_BODY.as_bytes()));
            self.store.put_engine_of(SERVICE, &name, address);
            engine.crash.clone().triggered().await;
            self.crashes.set(self.crashes.get() + 1);
            self.store.remove_engine(&name);
            time::sleep(RESTART_DELAY).await;
        }
    }

    pub fn crashes(&self) -> usize {
        self.crashes.get()
    }

    /// Sends the crashing request alongside other requests with different bodies, until `until`.
    pub async fn send_requests(self: Rc<Self>, hosts: Vec<SocketAddr>, until: Instant) {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let host = hosts[number % hosts.len()];
            let crashing = self.send(host, CRASHING_BODY, number);
            let other = format!("prompt {number}");
            let (_, retry_after) = tokio::join!(crashing, self.send(host, &other, number));
            if retry_after.is_some_and(|seconds| seconds > QUARANTINE_RETRY_SECONDS) {
                self.wrongly_quarantined.borrow_mut().push(other);
            }
            time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Sends a request, and returns the retry delay in seconds if it was refused.
    async fn send(&self, host: SocketAddr, body: &str, number: usize) -> Option<f64> {
        let id = format!("{SERVICE}-{body}-{number}");
        let request = client::stream_with_body(host, PATH, &id, "2000", body);
        let response = time::timeout(PROPAGATION_TIME, request)
            .await
            .ok()
            .flatten()?;
        response
            .headers
            .get("retry-after")?
            .to_str()
            .ok()?
            .parse()
            .ok()
    }

    /// Returns a description of each violation, once all faults have ended.
    pub async fn violations(&self, hosts: &[SocketAddr]) -> Vec<String> {
        let mut violations = self.wrongly_quarantined.borrow().clone();
        time::sleep(PROPAGATION_TIME).await;
        let before = self.crashes();
        for number in 0..3 * hosts.len() {
            self.send(hosts[number % hosts.len()], CRASHING_BODY, number)
                .await;
            time::sleep(REQUEST_INTERVAL).await;
        }
        let later = self.crashes() - before;
        if later > MAX_CRASHES {
            violations.push(format!(
                "{later} engines crashed on one request, after {before} before"
            ));
        }
        violations
    }
}
