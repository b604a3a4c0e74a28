//! Who sends a request, by the configuration in force at this host.

use std::time::Instant;

use tinbank_customer::{Caller, KeyDigest, Refusal, identify};
use tinbank_relay::route::Config;

use crate::node::Node;

/// A request that is not served because of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthError {
    /// No customer has the key.
    Unauthorized,
    /// No customer had the key when this host last heard of the configuration, which is some time ago.
    StaleConfig,
}

/// Who sends a request with a key, or without one, of which `id` is the name. A key that is not known is refused only by a
/// configuration that was read a moment ago: it may be a new one.
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
