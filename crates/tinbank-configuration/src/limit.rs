//! Limits of customers, services and streams. They apply to all entry hosts together.

use serde::{Deserialize, Serialize};

/// Limits of a customer. An absent limit means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Online requests per second.
    pub requests_per_second: Option<u32>,
    /// Tokens generated per second for online requests.
    pub tokens_per_second: Option<u32>,
    /// Concurrent online requests.
    pub online_at_once: Option<u32>,
    /// Concurrent batch items.
    pub batch_at_once: Option<u32>,
    /// Batch items that are queued or running.
    pub pending_items: Option<u32>,
}

/// Limits of online requests. An absent limit means unlimited. Those of a service or stream apply in addition to the
/// customer's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Online {
    /// Online requests per second.
    pub requests_per_second: Option<u32>,
    /// Tokens generated per second for online requests.
    pub tokens_per_second: Option<u32>,
    /// Concurrent online requests.
    pub online_at_once: Option<u32>,
}

impl Limits {
    /// Returns the limits that apply to online requests.
    pub fn online(self) -> Online {
        Online {
            requests_per_second: self.requests_per_second,
            tokens_per_second: self.tokens_per_second,
            online_at_once: self.online_at_once,
        }
    }

    /// Returns these limits with the limits that are set in `overrides` replaced.
    pub fn with_overrides(self, overrides: Self) -> Self {
        Self {
            requests_per_second: overrides.requests_per_second.or(self.requests_per_second),
            tokens_per_second: overrides.tokens_per_second.or(self.tokens_per_second),
            online_at_once: overrides.online_at_once.or(self.online_at_once),
            batch_at_once: overrides.batch_at_once.or(self.batch_at_once),
            pending_items: overrides.pending_items.or(self.pending_items),
        }
    }
}
