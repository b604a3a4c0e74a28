//! Requests between processes over TCP. The asker sends one [`Request`]; the answer is any number of
//! [`Response`] frames of which the last one is final.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    id,
    outcome::{Code, Ran},
    platform::log::Entry,
    record::{claim, work},
};

/// Largest frame taken from a peer, in bytes.
pub const MAX_BYTES: usize = 8 << 20;

/// What one process asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// State of a job. To the owner of its head's shard.
    Job {
        /// Which job.
        job: id::Job,
    },
    /// Whether a head counts, asked after its append; waits until the fold has passed `offset`.
    Committed {
        /// Which job.
        job: id::Job,
        /// The shard of the head.
        shard: id::Shard,
        /// Offset of the head.
        offset: id::Offset,
    },
    /// Stops a job. Answered once the cancel is read back in the head's shard.
    Cancel {
        /// Which job.
        job: id::Job,
    },
    /// Results of a job's items in one shard, from a chunk on.
    Results {
        /// Which job.
        job: id::Job,
        /// Which shard.
        shard: id::Shard,
        /// First chunk wanted.
        from: id::Chunk,
        /// Only the item of this name, if given.
        custom_id: Option<String>,
    },
    /// Claims an online request.
    Claim(claim::Claim),
    /// Settles a claimed request.
    Settle(claim::Settled),
    /// The configuration stream's entries from an offset on, as far as the peer has them.
    Config {
        /// First offset wanted.
        from: id::Offset,
    },
    /// How many items of a customer are pending in the shards that the asked process owns.
    Pending {
        /// Whose.
        customer: id::Customer,
    },
}

/// State and counts of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The job's head.
    pub head: work::Head,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Parts of the shards that have finished, as far as the owner of the head's shard has read.
    pub parts: Vec<work::Part>,
}

/// Counts of a job's items in one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Items not yet ended.
    pub pending: id::Item,
    /// Items with an answer.
    pub answered: id::Item,
    /// Items that ended as failed.
    pub failed: id::Item,
    /// Items stopped by a cancel.
    pub cancelled: id::Item,
}

/// One result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The caller's name for the item.
    pub custom_id: String,
    /// Its end; `None` while it is pending, or if a cancel came first.
    pub completion: Option<work::Completion>,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The asker may send the request.
    Won,
    /// It has run before; this is its stored answer.
    Settled(Result<Bytes, claim::Stored>),
    /// The first request is still running.
    Running,
    /// The key was used with another body.
    OtherBody {
        /// Digest of the first one's body.
        first: Digest,
    },
    /// The claimer is gone; it can't be learned whether the request ran.
    Unknown,
}

/// An answer frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// State of a job; final.
    Job(Option<Status>),
    /// The head that counts for the job; final.
    Committed(Option<work::Head>),
    /// The job is cancelled; `false` when it had ended before; final.
    Cancelled(bool),
    /// Some results; more follow.
    Results(Vec<Outcome>),
    /// Counts of the shard; final after results.
    Counted(Count),
    /// What became of a claim; final.
    Claimed(Claimed),
    /// Whether the settlement counts; final.
    Settled(bool),
    /// Some entries of the configuration stream, in one frame or several. An entry that holds a part of a checkpoint
    /// as of its own offset does not stand in the stream: the answering process made it in place of older entries.
    Config(Vec<Entry>),
    /// The asked process does not own the shard; final. The asker tries the owner it names, or the next in rank.
    #[serde(rename = "Elsewhere")]
    NotOwner(Option<id::Process>),
    /// It did not work; final.
    Failed {
        /// Why.
        code: Code,
        /// Whether it took effect.
        ran: Ran,
        /// What happened.
        message: String,
    },
    /// Pending items of a customer in the shards that the answering process owns; final.
    Pending(u64),
}
