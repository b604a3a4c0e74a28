//! Codec for calls of callers and the replies to them.

use std::time::Duration;

use bytes::Bytes;
use tinbank_customer::KeyDigest;
use tinbank_jobs::record::{self, Content, Index, ItemId, Reason};
use tinbank_relay::event;

use super::{Body, engine::PartId};

/// A decoded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A request for a route: an online request or the submission of a batch job.
    Request(Request),
    /// A call about a job that was submitted before.
    Job(JobCall),
}

/// A call about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobCall {
    /// Id that the caller gave the job.
    pub job: String,
    /// Host name of the call.
    pub host: String,
    /// Key of the caller.
    pub key: Option<KeyDigest>,
    /// What the call does.
    pub operation: JobOperation,
}

/// An operation on a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOperation {
    /// Reads results.
    Results {
        /// Position of the first result.
        from: usize,
        /// How long the reply may wait for a result.
        wait: Duration,
    },
    /// Reads the body of an item that has no result.
    Body {
        /// The item.
        item: ItemId,
    },
    /// Cancels the job.
    Cancel,
}

impl JobCall {
    /// Returns how long the reply may wait for a result.
    pub fn wait(&self) -> Duration {
        match &self.operation {
            JobOperation::Results { wait, .. } => *wait,
            JobOperation::Body { .. } | JobOperation::Cancel => Duration::ZERO,
        }
    }
}

/// A request for a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id that the caller gave this attempt.
    pub id: String,
    /// Host name of the request.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// Key of the caller.
    pub key: Option<KeyDigest>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Last event that the caller received of the stream it resumes.
    pub resume_after: Option<event::Id>,
    /// Id of the attempt that brought the first event of that stream.
    pub resumes: Option<String>,
}

/// A call that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {problem}")]
pub struct Malformed {
    /// Header, query parameter or field of the body that is wrong.
    pub place: String,
    /// What is wrong with it.
    pub problem: String,
}

/// An item of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The part that every host knows.
    pub item: record::Item,
    /// Headers and body of its request.
    pub content: Content,
}

/// The outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The data of all events in order, separated by line feeds.
    Completed(Bytes),
    /// The item was abandoned.
    Abandoned(Reason),
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageEntry {
    /// The item.
    pub item: ItemId,
    /// Its outcome.
    pub result: ItemOutcome,
}

/// A page of the results of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Number of items of the job.
    pub total: Index,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<PageEntry>,
}

/// A reply that the host generates itself. Logs print the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job is stored and will be run.
    Accepted,
    /// The request or job exceeds its customer's allowance or the quota of its route; nothing of it runs.
    OverQuota {
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// The request has not run and never will.
    NotRun {
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// The request is quarantined because it or a part of its prompt crashes upstreams. It has not run and never will.
    HeldBack {
        /// When the caller may retry.
        retry_after: Duration,
        /// The part, if it is the cause.
        part: Option<PartId>,
    },
    /// No upstream may go on with the stream that the caller resumes. The request has not run and never will.
    CannotResume {
        /// When the caller may retry.
        retry_after: Duration,
    },
    /// This host can't answer now; another one may.
    Unsure,
    /// The request failed; it may have run.
    Failed,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The request carries no valid key.
    NoKey,
    /// No route matches the request.
    NoRoute,
    /// There is no such job or item.
    NotFound,
    /// The request is larger than the configuration allows.
    TooLarge,
    /// The call can't be decoded.
    Malformed(Malformed),
    /// Results of a job.
    Results(Page),
    /// The body of an item.
    Body(Bytes),
    /// The job was cancelled.
    Ended,
    /// The process is ready to take requests.
    Ready,
    /// The process takes no requests now.
    NotReady,
}

/// Decodes calls and encodes replies.
pub trait Ingress {
    /// Decodes a call from the head of its request.
    fn decode(&self, head: &http::request::Parts) -> Result<Call, Malformed>;
    /// Decodes the items of a job from the body of its submission.
    fn items(&self, body: &[u8]) -> Result<Vec<Item>, Malformed>;
    /// Encodes a reply.
    fn encode(&self, reply: Reply) -> http::Response<Body>;
}
