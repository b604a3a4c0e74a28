//! What a command works with: the settings and the connections that follow from them.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use tinbank_base::platform::{hosts::Hosts, log::Log};
use tinbank_platform::{hosts, log};

use crate::{error::Error, exit::Exit, server::Server, settings::Settings};

/// Reads the settings when a command first asks, for some need none.
pub(crate) struct Context {
    path: Option<PathBuf>,
    settings: Option<Settings>,
    server: Server,
}

impl Context {
    pub(crate) fn new(path: Option<PathBuf>) -> Self {
        Self {
            path,
            settings: None,
            server: Server::new(),
        }
    }

    pub(crate) fn settings(&mut self) -> Result<&Settings, Error> {
        if self.settings.is_none() {
            self.settings = Some(Settings::find(self.path.as_ref())?);
        }
        Ok(self.settings.get_or_insert_default())
    }

    pub(crate) fn log(&mut self) -> Result<Arc<dyn Log>, Error> {
        let address = self.settings()?.log.ok_or_else(|| missing("log"))?;
        Ok(Arc::new(log::Http::new(address)))
    }

    pub(crate) fn hosts(&mut self) -> Result<Arc<dyn Hosts>, Error> {
        let address = self.settings()?.hosts.ok_or_else(|| missing("hosts"))?;
        Ok(Arc::new(hosts::Http::new(address)))
    }

    pub(crate) fn key(&mut self) -> Result<String, Error> {
        let key = self.settings()?.key.clone();
        key.ok_or_else(|| missing("key"))
    }

    pub(crate) fn online(&mut self) -> Result<Vec<SocketAddr>, Error> {
        entries(&self.settings()?.online, "online")
    }

    pub(crate) fn batch(&mut self) -> Result<Vec<SocketAddr>, Error> {
        entries(&self.settings()?.batch, "batch")
    }

    /// All entry addresses, whatever they are for; any process can tell of the others.
    pub(crate) fn entries(&mut self) -> Result<Vec<SocketAddr>, Error> {
        let settings = self.settings()?;
        let all = settings.batch.iter().chain(&settings.online);
        Ok(all.copied().collect())
    }

    pub(crate) fn server(&self) -> Server {
        self.server.clone()
    }
}

fn entries(addresses: &[SocketAddr], name: &str) -> Result<Vec<SocketAddr>, Error> {
    if addresses.is_empty() {
        return Err(missing(name));
    }
    Ok(addresses.to_vec())
}

fn missing(name: &str) -> Error {
    let what = format!("the settings have no `{name}`, which this command needs");
    Error::new(Exit::Input, what).help(format!("add `{name}`; see docs/configuration.md"))
}
