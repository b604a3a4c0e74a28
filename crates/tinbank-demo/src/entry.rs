//! The entry hosts: on each an online, a batch and a fleet process, on threads of their own.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use smallvec::SmallVec;
use tinbank_base::{
    id,
    platform::hosts::{Member, State},
};
use tinbank_batch::settings::Admission;
use tinbank_settings::common::Common;
use tinbank_standin::{Standin, service::Service};
use tokio::time::Instant;

use crate::{
    example::{Example, Lean},
    platform::domain,
};

/// Last byte of the address before the first host's.
const FIRST_BYTE: u8 = 10;
/// Most hosts that fit on 127.0.0.x.
const MOST_HOSTS: u32 = 200;
/// Time that all processes have to become ready.
const START: Duration = Duration::from_secs(15);

/// Why the entry hosts don't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A service of the platform is missing.
    #[error("the platform has no {0}")]
    Missing(&'static str),
    /// A process does not start.
    #[error("{role} process of host {host}: {message}")]
    Start {
        /// Which kind.
        role: id::Role,
        /// Where.
        host: id::Host,
        /// Why.
        message: String,
    },
    /// Some processes were not ready in time.
    #[error("{unready} of {all} processes were not ready within {START:?}")]
    Unready {
        /// How many.
        unready: usize,
        /// Of how many.
        all: usize,
    },
}

/// How batch items get into engines.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// What lets them in.
    pub admission: Admission,
    /// Slots that batch leaves alone, where admission is static.
    pub slots_for_online: u16,
    /// Part of a burst that stays free, where admission is by credits.
    pub lean_percent: u16,
}

impl Settings {
    /// Credits, between throughput and tail as the example's users want it; see `docs/design/admission.md`.
    pub fn of(example: &Example) -> Self {
        let lean_percent = match example.deployment.lean {
            Lean::Throughput => 50,
            Lean::Tail => 100,
        };
        Self {
            admission: Admission::Credits,
            slots_for_online: 0,
            lean_percent,
        }
    }
}

/// Where the platform is.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The log.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

impl Addresses {
    /// Those of the stand-ins.
    ///
    /// # Errors
    /// One was not started.
    pub fn of(standin: &Standin) -> Result<Self, Error> {
        let address = |service: Option<&Service>, name| {
            service
                .map(|service| service.address)
                .ok_or(Error::Missing(name))
        };
        Ok(Self {
            log: address(standin.log(), "log")?,
            hosts: address(standin.hosts(), "host list")?,
            weights: address(standin.weights(), "weight store")?,
        })
    }
}

/// The running entry hosts.
pub struct Entry {
    online: Vec<tinbank_online::Server>,
    batch: Vec<tinbank_batch::Server>,
    fleet: Vec<tinbank_fleet::Server>,
}

impl Entry {
    /// Starts all entry hosts, puts them on the host list and waits until they are ready.
    ///
    /// # Errors
    /// A process does not start, or is not ready in time.
    pub async fn start(
        example: &Example,
        standin: &Standin,
        addresses: Addresses,
        settings: Settings,
    ) -> Result<Self, Error> {
        let mut entry = Self {
            online: Vec::new(),
            batch: Vec::new(),
            fleet: Vec::new(),
        };
        let deployment = &example.deployment;
        let domains = u32::try_from(deployment.failure_domains.len()).unwrap_or(u32::MAX);
        let hosts = deployment.hosts_per_domain.saturating_mul(domains);
        for host in 1..=hosts.clamp(1, MOST_HOSTS) {
            entry.start_host(host, example, addresses, settings).await?;
        }
        let members = entry.members(example);
        if let Some(list) = standin.list() {
            list.change_at_once(|list| list.members = members);
        }
        entry.ready().await?;
        Ok(entry)
    }

    async fn start_host(
        &mut self,
        host: id::Host,
        example: &Example,
        addresses: Addresses,
        settings: Settings,
    ) -> Result<(), Error> {
        let online = tinbank_online::Settings {
            common: self.common(host, example, addresses),
            ..tinbank_online::Settings::default()
        };
        let online = tinbank_online::Server::start(online).await;
        self.online
            .push(online.map_err(|error| refused(id::Role::Online, host, &error))?);
        let batch = tinbank_batch::Settings {
            common: self.common(host, example, addresses),
            admission: settings.admission,
            slots_for_online: settings.slots_for_online,
            lean_percent: settings.lean_percent,
            ..tinbank_batch::Settings::default()
        };
        let batch = tinbank_batch::Server::start(batch).await;
        self.batch
            .push(batch.map_err(|error| refused(id::Role::Batch, host, &error))?);
        let fleet = tinbank_fleet::Settings {
            common: self.common(host, example, addresses),
        };
        let fleet = tinbank_fleet::Server::start(fleet).await;
        self.fleet
            .push(fleet.map_err(|error| refused(id::Role::Fleet, host, &error))?);
        Ok(())
    }

    fn common(&self, host: id::Host, example: &Example, addresses: Addresses) -> Common {
        let byte = FIRST_BYTE.saturating_add(u8::try_from(host).unwrap_or(u8::MAX));
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, byte)), 0);
        let online = self.online.iter().map(tinbank_online::Server::peer_address);
        let batch = self.batch.iter().map(tinbank_batch::Server::peer_address);
        Common {
            host,
            failure_domain: domain(example, host - 1),
            http: any,
            peer: any,
            log: addresses.log,
            hosts: addresses.hosts,
            weights: addresses.weights,
            seeds: online.chain(batch).collect(),
            ..Common::default()
        }
    }

    fn members(&self, example: &Example) -> Vec<Member> {
        let member = |process: id::Process, peer, http| Member {
            process,
            peer,
            http,
            failure_domain: domain(example, process.host - 1),
            state: State::Live,
        };
        let online = self.online.iter().map(|server| {
            member(
                server.writer().process,
                server.peer_address(),
                server.http_address(),
            )
        });
        let batch = self.batch.iter().map(|server| {
            member(
                server.writer().process,
                server.peer_address(),
                server.http_address(),
            )
        });
        let fleet = self.fleet.iter().map(|server| {
            member(
                server.core().writer.process,
                server.peer_address(),
                server.http_address(),
            )
        });
        online.chain(batch).chain(fleet).collect()
    }

    async fn ready(&self) -> Result<(), Error> {
        let until = Instant::now() + START;
        loop {
            let online = self
                .online
                .iter()
                .filter(|server| !server.is_ready())
                .count();
            let batch = self
                .batch
                .iter()
                .filter(|server| !server.is_ready())
                .count();
            let fleet = self
                .fleet
                .iter()
                .filter(|server| !server.core().ready.is_ready())
                .count();
            let unready = online + batch + fleet;
            if unready == 0 {
                return Ok(());
            }
            if Instant::now() >= until {
                let all = self.online.len() + self.batch.len() + self.fleet.len();
                return Err(Error::Unready { unready, all });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// How many entry hosts there are.
    pub fn hosts(&self) -> usize {
        self.online.len()
    }

    /// Where online requests go.
    pub fn online(&self) -> Vec<SocketAddr> {
        self.online
            .iter()
            .map(tinbank_online::Server::http_address)
            .collect()
    }

    /// Where jobs go.
    pub fn batch(&self) -> Vec<SocketAddr> {
        self.batch
            .iter()
            .map(tinbank_batch::Server::http_address)
            .collect()
    }

    /// Loses a host: all its processes end at once. Returns where they were reached; empty if there is no such host.
    pub fn kill(&mut self, host: id::Host) -> SmallVec<[SocketAddr; 2]> {
        let online = self
            .online
            .iter()
            .position(|server| server.writer().process.host == host);
        let batch = self
            .batch
            .iter()
            .position(|server| server.writer().process.host == host);
        let fleet = self
            .fleet
            .iter()
            .position(|server| server.core().writer.process.host == host);
        let mut lost = SmallVec::new();
        if let Some(online) = online {
            let server = self.online.remove(online);
            lost.push(server.http_address());
            server.kill();
        }
        if let Some(batch) = batch {
            let server = self.batch.remove(batch);
            lost.push(server.http_address());
            server.kill();
        }
        if let Some(fleet) = fleet {
            self.fleet.remove(fleet).kill();
        }
        lost
    }

    /// Loses so many in 100 datagrams between the processes.
    pub fn lose_datagrams(&self, percent: u8) {
        let online = self.online.iter().map(tinbank_online::Server::core);
        let batch = self.batch.iter().map(tinbank_batch::Server::core);
        let fleet = self.fleet.iter().map(tinbank_fleet::Server::core);
        online
            .chain(batch)
            .chain(fleet)
            .for_each(|core| core.endpoint.simulate_loss(percent));
    }

    /// Stops all processes as planned.
    pub async fn stop(self) {
        let online = self.online.into_iter().map(tinbank_online::Server::stop);
        let batch = self.batch.into_iter().map(tinbank_batch::Server::stop);
        let fleet = self.fleet.into_iter().map(tinbank_fleet::Server::stop);
        futures::join!(
            futures::future::join_all(online),
            futures::future::join_all(batch),
            futures::future::join_all(fleet)
        );
    }
}

fn refused(role: id::Role, host: id::Host, error: &dyn std::error::Error) -> Error {
    Error::Start {
        role,
        host,
        message: error.to_string(),
    }
}
