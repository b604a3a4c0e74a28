//! Identifiers. They are type aliases, which document signatures and keep the standard traits and the compact encoding of
//! the underlying type.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Number of an entry host, unique in the deployment, from the settings.
pub type Host = u32;
/// Number of an upstream (an engine or a plain service instance), from the platform's host list.
pub type Upstream = u32;
/// Unique name of one start of an upstream, on platforms that identify upstreams by name.
pub type Instance = Arc<str>;
/// Build of an upstream's software. What two builds write does not fit together.
pub type Build = Arc<str>;
/// Name of a failure domain, as given by the platform.
pub type FailureDomain = String;
/// Name of a region, which has one or more failure domains.
pub type Region = String;
/// Name of a customer in the configuration.
pub type Customer = String;
/// Name of a service in the configuration, given by callers in the `model` field.
pub type Service = String;
/// Label that assigns services to the upstreams that can run them.
pub type Pool = String;
/// Number of one start of a process, in microseconds since the Unix epoch. Later starts have larger numbers.
pub type Incarnation = u64;
/// Identifier of a batch job, derived from the customer and the idempotency key if there is one.
pub type Job = u128;
/// Index of a chunk within its job.
pub type Chunk = u32;
/// Index of an item within its job, in the order of the submitted lines.
pub type Item = u32;
/// Index of a work shard.
pub type Shard = u16;
/// Position of a record in a log stream.
pub type Offset = u64;
/// Offset of the configuration record that last changed an object.
pub type Revision = u64;
/// Identifier of an online request or of an attempt at an item, in frames, answers and events.
pub type Request = u128;
/// Number of a lease term, increased by each successful take.
pub type Epoch = u64;
/// Identifier of a customer's limit: a hash of the customer, the limited resource and the kind of limit.
pub type Limit = u64;
/// Fencing number of an order to an engine: the offset of the lease record under which it was sent.
pub type Fence = u64;

/// Kind of process that runs on an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers' online requests.
    Online,
    /// Accepts jobs, owns work shards and runs items.
    Batch,
    /// Sends orders to engines.
    Fleet,
    /// Runs a command-line tool.
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
    pub host: Host,
    pub role: Role,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.role, self.host)
    }
}

/// Formats a 128-bit id as it appears in URLs, headers and logs: 32 hexadecimal digits.
pub fn format_wide(id: u128) -> String {
    format!("{id:032x}")
}

/// Parses an id written by [`format_wide`].
///
/// Returns `None` unless the text is exactly 32 hexadecimal digits.
pub fn parse_wide(text: &str) -> Option<u128> {
    let whole = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    whole.then(|| u128::from_str_radix(text, 16).ok()).flatten()
}
