//! Calls of callers, and the answers to them.

use std::time::Duration;

use bytes::Bytes;
use tinbank_customer::KeyDigest;
use tinbank_jobs::record::{self, Content, Index, ItemId, Reason};
use tinbank_relay::event;

use super::Body;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A request for a route: relayed to an upstream, or a batch job.
    Request(Request),
    /// Something about a job that was submitted before.
    Job(AboutJob),
}

/// A call about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AboutJob {
    /// Name that its caller gave the job.
    pub job: String,
    /// Host name that the call carries.
    pub host: String,
    /// Key that it carries.
    pub key: Option<KeyDigest>,
    /// What is asked.
    pub call: JobCall,
}

/// What a caller asks about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Its results from a position on.
    Results {
        /// Position of the first result asked for.
        from: usize,
        /// How long the answer may wait for a result.
        wait: Duration,
    },
    /// The body of an item without a result.
    Body {
        /// The item.
        item: ItemId,
    },
    /// The end of the job.
    End,
}

impl AboutJob {
    /// How long the answer may wait.
    pub fn wait(&self) -> Duration {
        match &self.call {
            JobCall::Results { wait, .. } => *wait,
            JobCall::Body { .. } | JobCall::End => Duration::ZERO,
        }
    }
}

/// A request for a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Name that the caller gave this attempt.
    pub id: String,
    /// Host name it carries.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// Key that it carries.
    pub key: Option<KeyDigest>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Last event that the caller has of the stream it continues.
    pub resume_after: Option<event::Id>,
}

/// A call that can't be understood.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {problem}")]
pub struct Malformed {
    /// Header, parameter or part of the body.
    pub place: String,
    /// What is wrong with it, and what is expected.
    pub problem: String,
}

/// An item as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// What every host knows of it.
    pub item: record::Item,
    /// What it is sent with.
    pub content: Content,
}

/// The result of an item for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The data of all events, in order, separated by line feeds.
    Completed(Bytes),
    /// The item is given up.
    Abandoned(Reason),
}

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageEntry {
    /// The item.
    pub item: ItemId,
    /// What came of it.
    pub result: ItemOutcome,
}

/// Results of a job from a position on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Items of the job.
    pub total: Index,
    /// Position behind the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<PageEntry>,
}

/// An answer of the system's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job is the system's to keep.
    Accepted,
    /// It is more than its customer may have now; nothing of it runs.
    OverQuota {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The request has not run and never will.
    NotRun {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The request has not run and never will, because upstreams end under it.
    HeldBack {
        /// When it may be tried again.
        retry_after: Duration,
    },
    /// This host can't tell now; another may.
    Unsure,
    /// The request failed; it may have run.
    Failed,
    /// The time is up; the request may have run.
    TimedOut,
    /// The request carries no key of a customer.
    NoKey,
    /// No route takes the request.
    NoRoute,
    /// There is no such job or item.
    NotFound,
    /// The request is larger than the configuration allows.
    TooLarge,
    /// The call can't be understood.
    Malformed(Malformed),
    /// Results.
    Results(Page),
    /// The body of an item.
    Body(Bytes),
    /// The job is ended.
    Ended,
    /// The process can take requests.
    Ready,
    /// The process takes no requests now.
    NotReady,
}

/// Decodes calls and encodes answers.
pub trait Ingress {
    /// What a request asks for, by its head.
    fn decode(&self, head: &http::request::Parts) -> Result<Call, Malformed>;
    /// The items of a job, from the body of its submission.
    fn items(&self, body: &[u8]) -> Result<Vec<Item>, Malformed>;
    /// The answer that says so.
    fn encode(&self, reply: Reply) -> http::Response<Body>;
}
