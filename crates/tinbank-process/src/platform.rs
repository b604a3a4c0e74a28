//! The platform as a process reaches it.

use std::sync::Arc;

use tinbank_base::platform::{hosts::Hosts, log::Log, upstream::Upstreams, weights::Weights};
use tinbank_platform::{hosts, log, upstream, weights};
use tinbank_settings::common::Common;

/// The platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The log.
    pub log: Arc<dyn Log>,
    /// The host list.
    pub hosts: Arc<dyn Hosts>,
    /// The weight store.
    pub weights: Arc<dyn Weights>,
    /// Engines and plain services.
    pub upstreams: Arc<dyn Upstreams>,
}

impl Platform {
    /// The services over HTTP, at the addresses in the settings.
    pub fn new(common: &Common) -> Self {
        Self {
            log: Arc::new(log::Http::new(common.log)),
            hosts: Arc::new(hosts::Http::new(common.hosts)),
            weights: Arc::new(weights::Http::new(common.weights)),
            upstreams: Arc::new(upstream::Http::new()),
        }
    }
}
