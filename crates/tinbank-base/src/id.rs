//! Identifiers. They are aliases, so that a signature says what a number means while the
//! number keeps the standard traits and the shortest encoding on the wire.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Number of an entry host, unique in the deployment, from the settings.
pub type Host = u32;
/// Number of an upstream (an engine or a plain service instance), from the platform's host list.
pub type Upstream = u32;
/// Name that an upstream gives itself at each of its starts, where the platform names upstreams by text.
pub type Instance = Arc<str>;
/// Name of a failure domain, as the platform writes it.
pub type FailureDomain = String;
/// Name of a customer in the configuration.
pub type Customer = String;
/// Name of a service in the configuration; callers write it in the `model` field.
pub type Service = String;
/// Label that joins services to the upstreams which can run them.
pub type Pool = String;
/// Identifies one start of a process; a later start has a larger number (microseconds since 1970).
pub type Incarnation = u64;
/// A batch job. Derived from the customer and the idempotency key when there is one.
pub type Job = u128;
/// Index of a chunk within its job.
pub type Chunk = u32;
/// Index of an item within its job, in the order in which the caller sent the lines.
pub type Item = u32;
/// Index of a work shard.
pub type Shard = u16;
/// Position of a record in a log stream.
pub type Offset = u64;
/// Offset of the configuration record that made the object what it is.
pub type Revision = u64;
/// Identifies one online request or one attempt of an item, on frames, answers and events.
pub type Request = u128;
/// Number of a lease term; each successful take raises it.
pub type Epoch = u64;
/// Identifies one limit of a customer: a hash of the customer, of what is limited and of how.
pub type Limit = u64;
/// Fencing number of an order to an engine: the offset of the lease record it was given under.
pub type Fence = u64;

/// Kind of process that runs on an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers' online requests.
    Online,
    /// Takes in jobs, owns work shards and runs items.
    Batch,
    /// Gives orders to engines.
    Fleet,
    /// A command line that runs once.
    Tool,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Online => "online",
            Self::Batch => "batch",
            Self::Fleet => "fleet",
            Self::Tool => "tool",
        })
    }
}

/// One process of the system: a role on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// Host that the process runs on.
    pub host: Host,
    /// What the process does there.
    pub role: Role,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.role, self.host)
    }
}

/// Formats a 128-bit id the way it appears in URLs, headers and logs: 32 hexadecimal digits.
pub fn format_wide(id: u128) -> String {
    format!("{id:032x}")
}

/// Reads an id written by [`format_wide`].
///
/// Returns `None` when the text is not exactly 32 hexadecimal digits.
pub fn parse_wide(text: &str) -> Option<u128> {
    let whole = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    whole.then(|| u128::from_str_radix(text, 16).ok()).flatten()
}
