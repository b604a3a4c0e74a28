//! The records of batch jobs in the log.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_with::{DurationMilliSeconds, TimestampMilliSeconds, serde_as};
use tinbank_base::id;

/// Name under which a job is kept, see [`crate::scope`].
pub type JobId = String;
/// Name that the caller gave an item.
pub type ItemId = String;
/// Index of an item in its job, in the order in which the caller sent them.
pub type Index = u32;

/// One run of an item at an upstream, by a number that no other run has.
pub type RunId = u64;

/// First byte of each record; a record of another version is skipped with a line in the log.
const VERSION: u8 = 2;

/// A record that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The first byte names another version.
    #[error("record of version {found:?}, this host reads {VERSION}")]
    Version {
        /// Version found, if there is any byte.
        found: Option<u8>,
    },
    /// The rest is no record.
    #[error("record can't be decoded: {0}")]
    Malformed(#[from] postcard::Error),
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job is submitted. It counts if it is the first of its name and fits the quota at its place in the log.
    Submitted(Submission),
    /// An item has its result. The first one counts.
    Finished(Finish),
    /// The caller ends a job: nothing of it runs any more.
    Ended(JobId),
    /// A run of an item has got further, so that another host can go on from there.
    Advanced(Advance),
    /// A customer submits a job. Records of jobs of nobody are as they were before there were customers, so both are read.
    SubmittedBy(id::Customer, Submission),
    /// An upstream ran an item and failed. Hosts that run it later count on from there, so the bound on failures holds for all
    /// of them together: without it three hosts in turn sent an item on seven times that may fail three times.
    Failed(Failure),
}

/// A whole job, so that one append accepts all of it or nothing.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Name of the job, see [`crate::scope`].
    pub job: JobId,
    /// Identifies the submit call, so that its host recognises its own record.
    pub call: u64,
    /// Host name that the job was submitted under; routes are chosen by it.
    pub host: String,
    /// Name of the route whose quota the job counts against.
    pub route: String,
    /// Most tokens of the job's customer that may wait on the route; nothing means no limit.
    pub quota: Option<u64>,
    /// Failures after which an item is given up.
    pub max_attempts: u32,
    /// When the job was submitted, by the clock of the host that took it.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub submitted_at: SystemTime,
    /// For how long items are tried.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retention: Duration,
    /// How long after its submission every result is due.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target: Duration,
    /// The items.
    pub items: Vec<Item>,
    /// Their contents.
    pub contents: Attachment,
}

/// What every host knows of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Name of the item.
    pub id: ItemId,
    /// Path that it is sent to.
    pub path: String,
    /// Tokens of the prompt and the most that come out, added up.
    pub tokens: u64,
}

/// What an item is sent with, as it came. Only the host that runs it reads it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Headers of the item.
    pub headers: Vec<Header>,
    /// Its body.
    pub body: Bytes,
}

/// The contents of all items of a job, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contents(pub Vec<Content>);

/// The contents of a job's items, as its submission has them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attachment {
    /// They are small and part of the submission, so that one append accepts the job.
    Inline(Contents),
    /// They are large and stand elsewhere, so that hosts that don't run the job need not read them.
    Stored(Stored),
}

/// Where something large stands, which hosts read only when they need it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stored {
    /// Partition of the topic of large records.
    pub partition: u32,
    /// Offset of its first record.
    pub offset: u64,
    /// Number of records, which stand next to each other.
    pub records: u32,
    /// Bytes in all.
    pub bytes: u32,
}

/// A header of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the header.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Job of the item.
    pub job: JobId,
    /// Offset of the job's submission, so that a late record of an earlier job of the same name is dropped.
    pub submission: u64,
    /// The item.
    pub index: Index,
    /// What came of it.
    pub result: Outcome,
}

/// An upstream ran an item and failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Job of the item.
    pub job: JobId,
    /// Offset of the job's submission.
    pub submission: u64,
    /// The item.
    pub index: Index,
    /// The run that failed, so that a record that comes twice counts once.
    pub run: RunId,
}

/// A further piece of an item's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advance {
    /// Job of the item.
    pub job: JobId,
    /// Offset of the job's submission.
    pub submission: u64,
    /// The item.
    pub index: Index,
    /// The piece.
    pub piece: Piece,
}

/// A stretch of an item's text, from one run at an upstream.
///
/// Runs of one item may give different texts, so a piece counts only if its run goes on where the text stands: it is
/// the run of the last piece, or it was asked to go on there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The run.
    pub run: RunId,
    /// Event behind which the run was asked to go on; 0 for a run from the start.
    pub started_after: u64,
    /// Event before the first of the piece.
    pub after: u64,
    /// Last event of the piece.
    pub last: u64,
    /// The data of the events, each with a line feed behind it.
    pub text: Stored,
}

/// What came of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is done; this is the last piece of its text.
    Completed(Piece),
    /// The item is given up, for the reason given.
    Abandoned(Reason),
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// An upstream says that it can never be done.
    Impossible,
    /// It failed as often as its route allows.
    Attempts,
    /// It waited for as long as its route allows.
    Expired,
    /// Its route was removed from the configuration.
    RouteRemoved,
}

impl Contents {
    /// About how many bytes they take.
    pub fn size(&self) -> usize {
        let header = |header: &Header| header.name.len() + header.value.len();
        let of = |content: &Content| {
            content.body.len() + content.headers.iter().map(header).sum::<usize>()
        };
        self.0.iter().map(of).sum()
    }

    /// The bytes of the record.
    pub fn encode(&self) -> Result<Bytes, Error> {
        encode(self)
    }

    /// The contents of some bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes)
    }
}

impl Record {
    /// The bytes of a record.
    pub fn encode(&self) -> Result<Bytes, Error> {
        encode(self)
    }

    /// The record of some bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes)
    }

    /// Says where the text stands that the record tells of, if it tells of any.
    pub fn set_text(&mut self, text: Stored) {
        match self {
            Self::Advanced(advance) => advance.piece.text = text,
            Self::Finished(finish) => {
                if let Outcome::Completed(piece) = &mut finish.result {
                    piece.text = text;
                }
            }
            Self::Submitted(_) | Self::SubmittedBy(..) | Self::Ended(_) | Self::Failed(_) => {}
        }
    }

    /// The record of a submission by a customer, or by nobody.
    pub fn submitted(customer: Option<id::Customer>, submission: Submission) -> Self {
        match customer {
            Some(customer) => Self::SubmittedBy(customer, submission),
            None => Self::Submitted(submission),
        }
    }

    /// The submission that the record is, if it is one.
    pub fn submission(&self) -> Option<&Submission> {
        match self {
            Self::Submitted(submission) | Self::SubmittedBy(_, submission) => Some(submission),
            Self::Finished(_) | Self::Ended(_) | Self::Advanced(_) | Self::Failed(_) => None,
        }
    }
}

fn encode(value: &impl Serialize) -> Result<Bytes, Error> {
    let head = Vec::from([VERSION]);
    Ok(Bytes::from(postcard::to_extend(value, head)?))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        other => Err(Error::Version {
            found: other.map(|(version, _)| *version),
        }),
    }
}
