//! Authenticates callers against the configuration in force at this host.

use std::time::Instant;

use tinbank_customer::{Caller, KeyDigest, Refusal, identify};
use tinbank_relay::route::Config;

use crate::node::Node;

/// Why a request is rejected for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthError {
    /// No customer has the key, or the request carries no key.
    Unauthorized,
    /// No customer has the key, but the configuration of this host may be outdated.
    StaleConfig,
}

/// Identifies the sender of the request or job `id`. An unknown key is rejected for good only while the configuration is
/// fresh, because a newer configuration may contain the key.
pub(crate) fn authenticate(
    node: &Node,
    config: &Config,
    id: &str,
    key: Option<&KeyDigest>,
    is_open: bool,
) -> Result<Caller, AuthError> {
    let refusal = match identify(config.customers.as_ref(), key, is_open) {
        Ok(caller) => return Ok(caller),
        Err(refusal) => refusal,
    };
    let now = Instant::now();
    let is_fresh = node.view.is_config_fresh(now);
    let age_ms = node
        .view
        .age(now)
        .config
        .map_or(0, |it| it.as_millis() as u64);
    log::info!(request:% = id, version = config.version, age_ms, why = refusal.reason(); "caller not known");
    match refusal {
        Refusal::Unknown if !is_fresh => Err(AuthError::StaleConfig),
        Refusal::Unknown | Refusal::Missing => Err(AuthError::Unauthorized),
    }
}
