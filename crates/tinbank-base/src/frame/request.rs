//! Requests between processes over TCP. The client sends one [`Request`]; the server answers with one or more [`Response`]
//! frames, of which the last one is final.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    digest::Digest,
    frame::heartbeat::Leaving,
    id,
    outcome::{Code, Ran},
    platform::log::Entry,
    record::{claim, work},
};

/// Largest frame accepted from a peer, in bytes.
pub const MAX_BYTES: usize = 8 << 20;

/// A request to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Returns the state of a job. Sent to the owner of the head's shard.
    Job { job: id::Job },
    /// Returns whether an appended head is valid. Waits until the fold has passed `offset`.
    Committed {
        job: id::Job,
        /// Shard of the head.
        shard: id::Shard,
        /// Offset of the head.
        offset: id::Offset,
    },
    /// Cancels a job. Answered once the cancel record was read back from the head's shard.
    Cancel { job: id::Job },
    /// Returns the results of a job's items in one shard, starting at a chunk.
    Results {
        job: id::Job,
        shard: id::Shard,
        /// First chunk to return.
        from: id::Chunk,
        /// Restricts the results to the item with this name.
        custom_id: Option<String>,
    },
    /// Claims an online request.
    Claim(claim::Claim),
    /// Stores the result of a claimed request.
    Settle(claim::Settled),
    /// Returns the entries of the configuration stream from an offset on, as far as the peer has them.
    Config {
        /// First offset to return.
        from: id::Offset,
    },
    /// Returns the number of a customer's pending items in the shards that the server owns.
    Pending { customer: id::Customer },
    /// Returns which upstreams the peer knows to be leaving. Sent by a process that starts, which missed what was gossiped before.
    LeavingUpstreams,
}

/// State and counts of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub head: work::Head,
    pub cancelled: bool,
    /// Final counts of the shards that have finished, as far as the owner of the head's shard has read.
    pub parts: Vec<work::Part>,
}

/// Counts of a job's items in one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Items that have not ended.
    pub pending: id::Item,
    /// Items that were answered.
    pub answered: id::Item,
    /// Items that failed.
    pub failed: id::Item,
    /// Items that were cancelled before they ended.
    pub cancelled: id::Item,
}

/// Result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The caller's name for the item.
    pub custom_id: String,
    /// How the item ended; `None` if it is pending or was cancelled before.
    pub completion: Option<work::Completion>,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The claimer may send the request.
    Won,
    /// The request has already run; contains the stored answer.
    Settled(Result<Bytes, claim::Stored>),
    /// The first request with this key is still running.
    Running,
    /// The key was used with another body.
    OtherBody {
        /// Digest of the first request's body.
        first: Digest,
    },
    /// The first claimer is gone, and it is unknown whether its request ran.
    Unknown,
}

/// A response frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// State of a job; final.
    Job(Option<Status>),
    /// The valid head of the job; final.
    Committed(Option<work::Head>),
    /// Whether the job was cancelled; `false` if it had already ended; final.
    Cancelled(bool),
    /// Some results; more follow.
    Results(Vec<Outcome>),
    /// Counts of the shard, sent after the results; final.
    Counted(Count),
    /// Outcome of a claim; final.
    Claimed(Claimed),
    /// Whether the settlement was accepted; final.
    Settled(bool),
    /// Entries of the configuration stream, in one or more frames. An entry that contains a checkpoint part as of its own
    /// offset is not in the stream; the server created it to replace older entries.
    Config(Vec<Entry>),
    /// The server does not own the shard; final. The client tries the named owner, or the next process in rank.
    #[serde(rename = "Elsewhere")]
    NotOwner(Option<id::Process>),
    /// The request failed; final.
    Failed {
        code: Code,
        /// Whether the request may have taken effect.
        ran: Ran,
        message: String,
    },
    /// Number of a customer's pending items in the shards that the server owns; final.
    Pending(u64),
    /// What the server knows of leaving upstreams; final.
    LeavingUpstreams(Notices),
}

/// What a process knows of leaving upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// Whether the process has started: until then, it has itself not asked its peers yet.
    pub started: bool,
    /// The notices in force.
    pub notices: Vec<Notice>,
}

/// A notice that an upstream is leaving.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    pub leaving: Leaving,
    /// Time until the notice expires. A duration, since clocks are not synchronized.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub expires_in: Duration,
}
