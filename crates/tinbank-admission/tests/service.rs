//! Admission control end to end: from the reported load of an online process to the withdrawn pass.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use tinbank_admission::{Engine, Gate, LoadReporter, Pass, Service, Settings};
use tinbank_base::{
    frame::{
        credit::Message,
        demand,
        heartbeat::{Health, Phase},
        request::{Request, Response},
    },
    id::{Process, Role},
    peer::{Directory, Error, Member, Members, Peers},
    record::Writer,
};

const ENGINE: u32 = 7;
const SLOTS: u16 = 4;

fn writer(host: u32, role: Role) -> Writer {
    Writer {
        process: Process { host, role },
        incarnation: 1,
    }
}

#[derive(Debug)]
struct FixedDirectory(Arc<Members>);

impl Directory for FixedDirectory {
    fn members(&self) -> Arc<Members> {
        self.0.clone()
    }
}

/// Returns a directory of one batch process that is ready.
fn directory() -> Arc<FixedDirectory> {
    let address = "127.0.0.1:1".parse().unwrap();
    let member = Member {
        writer: writer(1, Role::Batch),
        health: Health::Alive,
        phase: Phase::Ready,
        peer: address,
        http: address,
        failure_domain: "garmisch".into(),
        config: 0,
    };
    let members = vec![member];
    Arc::new(FixedDirectory(Arc::new(Members { members })))
}

/// Delivers credit messages directly to the service.
#[derive(Debug, Default)]
struct Loopback {
    service: Mutex<Option<Service>>,
}

#[async_trait]
impl Peers for Loopback {
    async fn ask(&self, to: SocketAddr, _: Request, _: Instant) -> Result<Vec<Response>, Error> {
        Err(Error::Connect(to))
    }

    fn send_credit(&self, _: SocketAddr, message: Message) {
        if let Some(service) = &*self.service.lock().unwrap() {
            service.on_message(writer(2, Role::Online), message);
        }
    }

    fn send_demand(&self, _to: SocketAddr, _message: demand::Message) {}
}

fn start(lean_percent: u16) -> (Service, LoadReporter) {
    let loopback = Arc::new(Loopback::default());
    let own = writer(1, Role::Batch);
    let service = Service::start(
        Settings { lean_percent },
        own,
        loopback.clone(),
        directory(),
    );
    *loopback.service.lock().unwrap() = Some(service.clone());
    let engine = Engine {
        upstream: ENGINE,
        slots: SLOTS,
    };
    service.set_engines(vec![engine]);
    (service, LoadReporter::start(loopback, directory()))
}

/// Requests credits and enters until `count` passes are held, as the batch runner does.
async fn fill(service: &Service, count: usize) -> Vec<Pass> {
    let mut passes = Vec::new();
    while passes.len() < count {
        let now = Instant::now();
        let due = now + Duration::from_secs(60);
        match service.enter(ENGINE, "north", now) {
            Some(pass) => passes.push(pass),
            None => service.request_credits(ENGINE, "north", SLOTS, due, now),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    passes
}

#[tokio::test]
async fn online_load_withdraws_a_batch_request() {
    let (service, reporter) = start(0);
    let now = Instant::now();
    assert!(
        service.enter(ENGINE, "north", now).is_none(),
        "no credit yet"
    );
    let mut passes = fill(&service, SLOTS.into()).await;
    let now = Instant::now();
    assert!(
        service.enter(ENGINE, "north", now).is_none(),
        "all credits are in use"
    );

    reporter.online(ENGINE, 1);
    let newest = passes.last_mut().unwrap();
    newest.withdrawn.changed().await.unwrap();

    let withdrawn = passes.iter().filter(|pass| *pass.withdrawn.borrow());
    assert_eq!(withdrawn.count(), 1);
}

#[tokio::test]
async fn removed_engine_gets_no_batch() {
    let (service, _reporter) = start(0);
    let mut passes = fill(&service, 1).await;

    service.set_engines(Vec::new());
    passes[0].withdrawn.changed().await.unwrap();

    assert!(*passes[0].withdrawn.borrow());
    let now = Instant::now();
    assert!(service.enter(ENGINE, "north", now).is_none());
}
