//! What a stand-in process runs.

mod schema;

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{engine, hosts, log, plain, weights};

/// Settings of the stand-ins. Every service listens on an address of its own; port 0 lets the
/// system choose one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where faults are switched and accounts are read. Default 127.0.0.1:0.
    #[serde(default = "any_port")]
    pub admin: SocketAddr,
    /// The log service; absent for none.
    #[serde(default)]
    pub log: Option<log::Settings>,
    /// The host list; absent for none. It lists the engines and plain services below by itself.
    #[serde(default)]
    pub hosts: Option<hosts::Settings>,
    /// The weight store; absent for none.
    #[serde(default)]
    pub weights: Option<weights::Settings>,
    /// Engines.
    #[serde(default)]
    pub engines: Vec<engine::Settings>,
    /// Plain services.
    #[serde(default)]
    pub plain: Vec<plain::Settings>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            admin: any_port(),
            log: None,
            hosts: None,
            weights: None,
            engines: Vec::new(),
            plain: Vec::new(),
        }
    }
}

pub(crate) fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
