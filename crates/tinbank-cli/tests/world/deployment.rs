//! A small deployment in this process: stand-ins, and hosts that each run an online and a batch process.

use std::{net::SocketAddr, time::Duration};

use tinbank_base::{
    id,
    platform::{
        hosts::{Member, State},
        weights::Artifact,
    },
};
use tinbank_cli::exit::Exit;
use tinbank_settings::common::Common;
use tinbank_standin::{Settings, Standin, engine, hosts, log, plain, weights};

use super::{Addresses, Ran, World};

/// The key of the example customer.
pub const KEY: &str = "wa-example-key";

/// Stand-ins, hosts and a world to run commands in.
pub struct Deployment {
    pub world: World,
    pub standin: Standin,
    pub hosts: Vec<Host>,
}

/// The processes of one host.
pub struct Host {
    pub online: tinbank_online::Server,
    pub batch: tinbank_batch::Server,
}

impl Deployment {
    /// Starts everything; operators ann and bob have settings.
    pub async fn start(hosts: id::Host) -> Self {
        let standin = Standin::start(stand_ins()).await.expect("loopback is free");
        let mut deployment = Self {
            world: World::new(),
            standin,
            hosts: Vec::new(),
        };
        for host in 1..=hosts {
            deployment.start_host(host).await;
        }
        let addresses = deployment.addresses();
        deployment.world.settings("ann", &addresses);
        deployment.world.settings("bob", &addresses);
        deployment
    }

    /// Where the command line finds it.
    pub fn addresses(&self) -> Addresses {
        let address = |service: Option<&tinbank_standin::service::Service>| {
            service.map(|service| service.address)
        };
        Addresses {
            log: address(self.standin.log()),
            hosts: address(self.standin.hosts()),
            online: self
                .hosts
                .iter()
                .map(|host| host.online.http_address())
                .collect(),
            batch: self
                .hosts
                .iter()
                .map(|host| host.batch.http_address())
                .collect(),
            key: Some(KEY),
        }
    }

    /// Waits until every process has the whole configuration in force.
    pub async fn in_force_everywhere(&self) {
        loop {
            let status = self.world.run("ann", "config status --json").await;
            if status.exit == Exit::Done {
                return;
            }
            assert_eq!(status.exit, Exit::Partial, "{}", status.err);
        }
    }

    /// Drains the second of two hosts; its servers do what the programs do when they see it.
    pub async fn drain_second_host(&mut self) -> Ran {
        let host = self.hosts.pop().expect("there are two");
        let stop = async {
            tokio::join!(host.online.drained(), host.batch.drained());
            tokio::join!(host.online.stop(), host.batch.stop());
        };
        let drain = self.world.run("ann", "drain host 2 --wait");
        let (drained, ()) = tokio::join!(drain, stop);
        drained
    }

    async fn start_host(&mut self, host: id::Host) {
        let common = self.common(host);
        let online = tinbank_online::Settings {
            common: common.clone(),
            ..tinbank_online::Settings::default()
        };
        let online = tinbank_online::Server::start(online).await;
        let online = online.expect("loopback is free");
        self.enlist(
            host,
            id::Role::Online,
            online.peer_address(),
            online.http_address(),
        );
        let batch = tinbank_batch::Settings {
            common,
            ..tinbank_batch::Settings::default()
        };
        let batch = tinbank_batch::Server::start(batch).await;
        let batch = batch.expect("loopback is free");
        self.enlist(
            host,
            id::Role::Batch,
            batch.peer_address(),
            batch.http_address(),
        );
        self.hosts.push(Host { online, batch });
    }

    fn common(&self, host: id::Host) -> Common {
        let addresses = self.addresses();
        let weights = self.standin.weights().map(|weights| weights.address);
        let common = Common::default();
        Common {
            host,
            failure_domain: format!("domain-{host}"),
            log: addresses.log.unwrap_or(common.log),
            hosts: addresses.hosts.unwrap_or(common.hosts),
            weights: weights.unwrap_or(common.weights),
            ..common
        }
    }

    /// The platform puts a process on its list when it starts it.
    fn enlist(&self, host: id::Host, role: id::Role, peer: SocketAddr, http: SocketAddr) {
        let member = Member {
            process: id::Process { host, role },
            peer,
            http,
            failure_domain: format!("domain-{host}"),
            state: State::Live,
        };
        let list = self.standin.list().expect("it was started");
        list.change_at_once(|list| list.members.push(member));
    }
}

fn stand_ins() -> Settings {
    Settings {
        log: Some(log::Settings::default()),
        hosts: Some(hosts::Settings {
            lag: Duration::from_millis(100),
            ..hosts::Settings::default()
        }),
        weights: Some(weights::Settings::default()),
        engines: vec![engine(1), engine(2)],
        plain: vec![plain::Settings {
            upstream: 11,
            pools: ["work-orders".to_owned()].into_iter().collect(),
            ..plain::Settings::default()
        }],
        ..Settings::default()
    }
}

fn engine(upstream: id::Upstream) -> engine::Settings {
    let artifact = Artifact {
        model: "hydro-notes-8b".to_owned(),
        version: "2026-10".to_owned(),
        adapter: None,
    };
    engine::Settings {
        upstream,
        pools: ["logger-notes".to_owned()].into_iter().collect(),
        loaded: [artifact].into_iter().collect(),
        base_step: Duration::from_millis(2),
        step_per_sequence: Duration::from_micros(100),
        ..engine::Settings::default()
    }
}
