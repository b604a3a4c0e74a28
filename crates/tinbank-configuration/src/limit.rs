//! Limits of a customer and of its services and streams, which hold over all entry hosts together.

use serde::{Deserialize, Serialize};

/// Limits; an absent one does not limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Online requests a second.
    pub requests_per_second: Option<u32>,
    /// Generated tokens a second of online requests.
    pub tokens_per_second: Option<u32>,
    /// Online requests at once.
    pub online_at_once: Option<u32>,
    /// Batch items at once.
    pub batch_at_once: Option<u32>,
    /// Batch items that wait or run.
    pub pending_items: Option<u32>,
}

/// Limits of online requests; an absent one does not limit. Those of a service or stream hold besides the customer's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Online {
    /// Online requests a second.
    pub requests_per_second: Option<u32>,
    /// Generated tokens a second of online requests.
    pub tokens_per_second: Option<u32>,
    /// Online requests at once.
    pub online_at_once: Option<u32>,
}

impl Limits {
    /// Those of online requests.
    pub fn online(self) -> Online {
        Online {
            requests_per_second: self.requests_per_second,
            tokens_per_second: self.tokens_per_second,
            online_at_once: self.online_at_once,
        }
    }

    /// These limits, with those of `over` in place of them where it names any.
    pub fn overlaid(self, over: Self) -> Self {
        Self {
            requests_per_second: over.requests_per_second.or(self.requests_per_second),
            tokens_per_second: over.tokens_per_second.or(self.tokens_per_second),
            online_at_once: over.online_at_once.or(self.online_at_once),
            batch_at_once: over.batch_at_once.or(self.batch_at_once),
            pending_items: over.pending_items.or(self.pending_items),
        }
    }
}
