//! Starts the stand-ins of one process.

use std::net::SocketAddr;

use dropshot::{ApiDescription, ServerContext};
use tinbank_base::platform::hosts::{Kind, State, Upstream};
use tokio_util::sync::CancellationToken;

use crate::{
    Settings,
    account::Account,
    admin, engine,
    fault::Faults,
    hosts::{self, Hosts},
    log, plain,
    service::{Server, Service, serve},
    weights,
};

/// Why a service did not start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stand-in at {address} can't start: {message}")]
pub struct Error {
    /// Where it should listen.
    pub address: SocketAddr,
    /// What happened.
    pub message: String,
}

/// The running stand-ins of one process. Dropping it stops them without waiting.
#[derive(Debug)]
pub struct Standin {
    admin: SocketAddr,
    log: Option<Service>,
    hosts: Option<Service>,
    list: Option<Hosts>,
    weights: Option<Service>,
    engines: Vec<Service>,
    plain: Vec<Service>,
    servers: Vec<Server>,
    stop: CancellationToken,
}

impl Standin {
    /// Starts every service of the settings; all listen when it returns.
    ///
    /// # Errors
    /// If one can't listen at its address, the others are stopped.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let mut starting = Self {
            admin: settings.admin,
            log: None,
            hosts: None,
            list: None,
            weights: None,
            engines: Vec::new(),
            plain: Vec::new(),
            servers: Vec::new(),
            stop: CancellationToken::new(),
        };
        starting.start_platform(&settings).await?;
        for engine in settings.engines {
            starting.start_engine(engine).await?;
        }
        for plain in settings.plain {
            starting.start_plain(plain).await?;
        }
        starting.start_admin(settings.admin).await?;
        Ok(starting)
    }

    /// Where faults are switched and accounts are read.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// The log service.
    pub fn log(&self) -> Option<&Service> {
        self.log.as_ref()
    }

    /// The host list's service.
    pub fn hosts(&self) -> Option<&Service> {
        self.hosts.as_ref()
    }

    /// What the host list says, to be changed.
    pub fn list(&self) -> Option<&Hosts> {
        self.list.as_ref()
    }

    /// The weight store.
    pub fn weights(&self) -> Option<&Service> {
        self.weights.as_ref()
    }

    /// The engines, in the order of the settings.
    pub fn engines(&self) -> &[Service] {
        &self.engines
    }

    /// The plain services, in the order of the settings.
    pub fn plain(&self) -> &[Service] {
        &self.plain
    }

    /// Stops all services at once and waits until they are closed.
    pub async fn stop(mut self) {
        self.stop.cancel();
        for server in std::mem::take(&mut self.servers) {
            server.closed().await;
        }
    }

    async fn start_platform(&mut self, settings: &Settings) -> Result<(), Error> {
        if let Some(settings) = &settings.log {
            let service = service("log", settings.seed);
            let context = log::Context::new(settings.clone(), service.faults.clone());
            let address = settings.address;
            self.log = Some(self.serve(service, address, log::api, context).await?);
        }
        if let Some(settings) = &settings.hosts {
            let service = service("hosts", 0);
            let list = Hosts::new(settings, service.faults.clone());
            self.list = Some(list.clone());
            let address = settings.address;
            self.hosts = Some(self.serve(service, address, hosts::api, list).await?);
        }
        if let Some(settings) = &settings.weights {
            let service = service("weights", 0);
            let context = weights::Context::new(settings.clone(), service.faults.clone());
            let address = settings.address;
            self.weights = Some(self.serve(service, address, weights::api, context).await?);
        }
        Ok(())
    }

    async fn start_engine(&mut self, settings: engine::Settings) -> Result<(), Error> {
        let service = service(&settings.name(), settings.seed);
        let context = engine::Context::start(
            settings.clone(),
            service.faults.clone(),
            service.account.clone(),
            self.stop.clone(),
        );
        let service = self
            .serve(service, settings.address, engine::api, context)
            .await?;
        self.enlist(
            &service,
            Upstream {
                upstream: settings.upstream,
                name: service.name.clone(),
                kind: Kind::Engine,
                pools: settings.pools,
                address: service.address,
                failure_domain: settings.failure_domain,
                checks_fence: settings.checks_fence,
                slots: settings.lists_slots.then_some(settings.slots),
                state: State::Live,
            },
        );
        self.engines.push(service);
        Ok(())
    }

    async fn start_plain(&mut self, settings: plain::Settings) -> Result<(), Error> {
        let service = service(&settings.name(), settings.seed);
        let (faults, account) = (service.faults.clone(), service.account.clone());
        let context = plain::Context::new(settings.clone(), faults, account);
        let service = self
            .serve(service, settings.address, plain::api, context)
            .await?;
        self.enlist(
            &service,
            Upstream {
                upstream: settings.upstream,
                name: service.name.clone(),
                kind: Kind::Plain,
                pools: settings.pools,
                address: service.address,
                failure_domain: settings.failure_domain,
                checks_fence: false,
                slots: None,
                state: State::Live,
            },
        );
        self.plain.push(service);
        Ok(())
    }

    async fn start_admin(&mut self, address: SocketAddr) -> Result<(), Error> {
        let platform = [&self.log, &self.hosts, &self.weights];
        let upstreams = self.engines.iter().chain(&self.plain);
        let all: admin::Context = platform
            .into_iter()
            .flatten()
            .chain(upstreams)
            .cloned()
            .collect();
        let service = service("admin", 0);
        self.admin = self.serve(service, address, admin::api, all).await?.address;
        Ok(())
    }

    async fn serve<C: ServerContext + Clone>(
        &mut self,
        service: Service,
        address: SocketAddr,
        api: fn() -> ApiDescription<C>,
        context: C,
    ) -> Result<Service, Error> {
        let (faults, stop) = (service.faults.clone(), self.stop.clone());
        let server = serve(address, api, context, faults, stop).await?;
        let address = server.address;
        self.servers.push(server);
        Ok(Service { address, ..service })
    }

    /// Puts an upstream on the list, and keeps its state there as its faults say.
    fn enlist(&self, service: &Service, upstream: Upstream) {
        let Some(list) = self.list.clone() else {
            return;
        };
        list.change_at_once(|list| list.upstreams.push(upstream));
        let service = service.clone();
        let follow = async move {
            loop {
                service.faults.until(|fault| fault.leaving).await;
                list.mark(&service.name, State::Leaving);
                service.faults.until(|fault| !fault.leaving).await;
                list.mark(&service.name, State::Live);
            }
        };
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(follow));
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn service(name: &str, seed: u64) -> Service {
    Service {
        name: name.to_owned(),
        address: crate::settings::any_port(),
        faults: Faults::new(seed),
        account: Account::default(),
    }
}
