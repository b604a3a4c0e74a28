//! Several processes that follow logs and answer each other, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, UNIX_EPOCH},
};

use async_trait::async_trait;
use tinbank_base::{
    frame::{
        credit, demand,
        heartbeat::{Health, Phase},
        request::{Request, Response},
    },
    id,
    peer::{Directory, Error, Member, Members, Peers},
    record::Writer as Identity,
};
use tinbank_configuration::{Follower, follower::Settings, publish::Publisher};
use tinbank_log::{
    reader,
    writer::{self, Writer},
};
use tinbank_test_support::log::Memory;
use tinbank_timeline::Recorder;
use tokio::{sync::watch, time};

/// Followers that request entries from each other and always know the current progress of all others.
#[derive(Clone, Debug, Default)]
pub struct Site {
    followers: Arc<Mutex<Vec<Follower>>>,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + host as u16))
}

fn process(host: usize) -> id::Process {
    id::Process {
        host: host as u32,
        role: id::Role::Online,
    }
}

/// Creates a recorder that uses the virtual clock of tokio.
pub fn recorder(process: id::Process) -> Recorder {
    let started = time::Instant::now();
    let clock = move || UNIX_EPOCH + Duration::from_secs(1_000_000) + started.elapsed();
    Recorder::with_clock(process, 100, Arc::new(clock))
}

pub fn writer(log: &Memory, recorder: &Recorder) -> Writer {
    let identity = Identity {
        process: recorder.process(),
        incarnation: recorder.incarnation(),
    };
    let stamps = recorder.clone();
    let (_, writers) = watch::channel(1);
    Writer::start(
        Arc::new(log.clone()),
        identity,
        Arc::new(move || stamps.stamp()),
        writer::Settings::default(),
        writers,
    )
}

pub fn publisher(log: &Memory, number: u32) -> Publisher {
    let recorder = recorder(id::Process {
        host: number,
        role: id::Role::Tool,
    });
    let writer = writer(log, &recorder);
    Publisher::new(Arc::new(log.clone()), writer, reader::Settings::default())
}

pub fn within(seconds: u64) -> Instant {
    (time::Instant::now() + Duration::from_secs(seconds)).into_std()
}

impl Site {
    /// Starts a follower of a log and connects it to the others.
    pub async fn start(&self, log: &Memory, settings: Settings) -> Follower {
        let host = self.followers.lock().unwrap().len();
        let recorder = recorder(process(host));
        let writer = writer(log, &recorder);
        let follower = Follower::start(Arc::new(log.clone()), recorder, Some(writer), settings);
        self.followers.lock().unwrap().push(follower.clone());
        follower
            .connect(Arc::new(self.clone()), Arc::new(self.clone()))
            .await;
        follower
    }
}

impl Directory for Site {
    fn members(&self) -> Arc<Members> {
        let followers = self.followers.lock().unwrap();
        let members = followers.iter().enumerate().map(|(host, follower)| {
            let progress = *follower.progress().borrow();
            Member {
                writer: Identity {
                    process: process(host),
                    incarnation: 1,
                },
                health: Health::Alive,
                phase: if progress.ready {
                    Phase::Ready
                } else {
                    Phase::Starting
                },
                peer: address(host),
                http: address(host),
                failure_domain: "logan".to_owned(),
                config: progress.next,
            }
        });
        Arc::new(Members {
            members: members.collect(),
        })
    }
}

#[async_trait]
impl Peers for Site {
    async fn ask(
        &self,
        to: SocketAddr,
        request: Request,
        _until: Instant,
    ) -> Result<Vec<Response>, Error> {
        let host = usize::from(to.port()) - 1;
        let follower = self.followers.lock().unwrap().get(host).cloned();
        match (follower, request) {
            (Some(follower), Request::Config { from }) => Ok(follower.serve(from).await),
            _ => Err(Error::Connect(to)),
        }
    }

    fn send_credit(&self, _to: SocketAddr, _message: credit::Message) {}

    fn send_demand(&self, _to: SocketAddr, _message: demand::Message) {}
}
