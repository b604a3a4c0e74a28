//! A service whose engines end under one request, and are back a moment later under another name.

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

/// The service, and the name of its route.
pub const SERVICE: &str = "mortal";
const PATH: &str = "/mortal/x";
/// The body of the request that ends engines.
const DEADLY: &str = "deadly";
const ENGINES: usize = 4;
/// Time until an engine that has ended is back.
const AWAY: Duration = Duration::from_millis(400);
/// Time between two tries of the deadly request.
const PAUSE: Duration = Duration::from_millis(250);
/// Tries that users allow once every host has to know of a request that ends engines.
const MOST_RETRIES: usize = 3;
/// Time in which every host has to know.
const CONTACT: Duration = Duration::from_secs(3);
/// No refusal but that of a request that is held back says to come again so late.
const LATE_SECONDS: f64 = 60.0;

/// The engines.
pub struct Mortals {
    store: Rc<Store>,
    ended: Cell<usize>,
    started: Cell<usize>,
    /// Other requests that were held back.
    held_wrongly: RefCell<Vec<String>>,
}

impl Mortals {
    pub async fn start(store: &Rc<Store>) -> Rc<Self> {
        let mortals = Rc::new(Self {
            store: Rc::clone(store),
            ended: Cell::new(0),
            started: Cell::new(0),
            held_wrongly: RefCell::default(),
        });
        for _ in 0..ENGINES {
            task::spawn_local(Rc::clone(&mortals).live());
        }
        // The hosts that start next are to find them listed.
        while mortals.started.get() < ENGINES {
            task::yield_now().await;
        }
        mortals
    }

    /// One engine after the other in the same place.
    async fn live(self: Rc<Self>) {
        loop {
            let number = self.started.get();
            self.started.set(number + 1);
            let name = format!("m{number}");
            let (engine, address) = Engine::start(&name).await;
            *engine.ends_at.borrow_mut() = Some(Bytes::from_static(DEADLY.as_bytes()));
            self.store.list_of(SERVICE, &name, address);
            engine.end.clone().come().await;
            self.ended.set(self.ended.get() + 1);
            self.store.lapse(&name);
            time::sleep(AWAY).await;
        }
    }

    pub fn ended(&self) -> usize {
        self.ended.get()
    }

    /// Callers that send the deadly request, and others of which no two send the same, until then.
    pub async fn call(self: Rc<Self>, hosts: Vec<SocketAddr>, until: Instant) {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let host = hosts[number % hosts.len()];
            let deadly = self.send(host, DEADLY, number);
            let other = format!("prompt {number}");
            let (_, answer) = tokio::join!(deadly, self.send(host, &other, number));
            if answer.is_some_and(|seconds| seconds > LATE_SECONDS) {
                self.held_wrongly.borrow_mut().push(other);
            }
            time::sleep(PAUSE).await;
        }
    }

    /// When the caller may come again, if it was refused.
    async fn send(&self, host: SocketAddr, body: &str, number: usize) -> Option<f64> {
        let id = format!("{SERVICE}-{body}-{number}");
        let asked = client::prompt(host, PATH, &id, "2000", body);
        let got = time::timeout(CONTACT, asked).await.ok().flatten()?;
        got.headers.get("retry-after")?.to_str().ok()?.parse().ok()
    }

    /// Each broken promise, once all faults have ended.
    pub async fn broken(&self, hosts: &[SocketAddr]) -> Vec<String> {
        let mut broken = self.held_wrongly.borrow().clone();
        time::sleep(CONTACT).await;
        let before = self.ended();
        for number in 0..3 * hosts.len() {
            self.send(hosts[number % hosts.len()], DEADLY, number).await;
            time::sleep(PAUSE).await;
        }
        let later = self.ended() - before;
        if later > MOST_RETRIES {
            broken.push(format!(
                "{later} engines ended under one request, after {before}"
            ));
        }
        broken
    }
}
