//! Records of the job log.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, TimestampMilliSeconds, serde_as};
use tinbank_base::id;
use tinbank_origin::Origin;

/// Internal name of a job, see [`crate::scope`].
pub type JobId = String;
/// Name of an item, given by the caller.
pub type ItemId = String;
/// Index of an item in its job, in the order of the submission.
pub type Index = u32;

/// Unique number of a run of an item at an upstream.
pub type RunId = u64;

/// Unique number of a takeover of partitions.
pub type TakeoverId = u64;

/// Offset in the job log.
pub type Offset = u64;

/// First byte of each record. Records of another version are skipped and logged.
const VERSION: u8 = 2;

/// An error in a record.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The first byte names another version.
    #[error("unsupported record version {found:?}, expected {VERSION}")]
    Version {
        /// The first byte, or `None` if the record is empty.
        found: Option<u8>,
    },
    /// The bytes after the version can't be decoded.
    #[error("malformed record: {0}")]
    Malformed(#[from] postcard::Error),
}

/// A record of the job log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job without a customer was submitted. It is accepted if it is the first of its name and fits the quota at this
    /// position of the log.
    Submitted(Submission),
    /// An item has a result. Only its first result counts.
    Finished(Finish),
    /// The caller cancelled a job: none of its items runs any more.
    #[serde(rename = "Ended")]
    Cancelled(JobId),
    /// A run of an item has produced more text, from which another host can continue.
    #[serde(rename = "Advanced")]
    Checkpointed(Checkpoint),
    /// A customer submitted a job. Separate from `Submitted` so that records from before there were customers can be read.
    SubmittedBy(id::Customer, Submission),
    /// A run of an item failed at an upstream. Logged so that the bound on failures holds over all hosts that run the item.
    Failed(Failure),
    /// A run of an item is about to produce text, at an upstream of a build.
    RunStarted(RunStart),
    /// A host takes partitions over. It has read the records of their previous owners once it reads this one.
    TakenOver(Takeover),
}

/// A job with all its items, so that one append accepts all of it or nothing.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Internal name of the job, see [`crate::scope`].
    pub job: JobId,
    /// Identifies the submit call, so that its host recognizes its own record.
    pub call: u64,
    /// Host name of the submit call, which selects the routes of its items.
    pub host: String,
    /// Name of the route whose quota the job counts against.
    pub route: String,
    /// Limit on the tokens that the job's customer may have waiting on the route, if there is one.
    pub quota: Option<u64>,
    /// Failed runs after which an item is abandoned.
    pub max_attempts: u32,
    /// When the job was submitted, by the clock of the host that received it.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub submitted_at: SystemTime,
    /// How long after the submission items may still run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retention: Duration,
    /// How long after the submission all results are due.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target: Duration,
    /// The items of the job.
    pub items: Vec<Item>,
    /// The contents of the items.
    pub contents: Attachment,
    /// Position of the log when the submit call began: its host had applied all records before. `None` in records of versions that did
    /// not write it. Encoded after the record, where those versions ignore it.
    #[serde(skip)]
    pub position: Option<Offset>,
}

/// The part of an item that every host reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Name of the item.
    pub id: ItemId,
    /// Path that it is sent to.
    pub path: String,
    /// Tokens of the prompt plus the limit on tokens of the output.
    pub tokens: u64,
}

/// Headers and body of an item as submitted. Only the host that runs the item reads them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Its headers.
    pub headers: Vec<Header>,
    /// Its body.
    pub body: Bytes,
}

/// The contents of all items of a job, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contents(pub Vec<Content>);

/// How a submission carries the contents of its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attachment {
    /// Part of the submission; for small contents.
    Inline(Contents),
    /// In a large record, so that hosts that don't run the job need not read them.
    Stored(Stored),
}

/// Location of a large record, which hosts read only when they need it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stored {
    /// Partition of the topic for large records.
    pub partition: u32,
    /// Offset of its first fragment.
    pub offset: u64,
    /// Number of fragments, which are adjacent.
    pub records: u32,
    /// Total size in bytes.
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
    /// Offset of the job's submission, by which late records of an earlier job of the same name are detected.
    pub submission: u64,
    /// The item.
    pub index: Index,
    /// The result.
    pub result: Outcome,
}

/// A failed run of an item at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Job of the item.
    pub job: JobId,
    /// Offset of the job's submission.
    pub submission: u64,
    /// The item.
    pub index: Index,
    /// The run that failed, by which duplicate records are detected.
    pub run: RunId,
}

/// The start of a run of an item, written before its first piece. Without it, what is in the log of an item's text could be continued
/// at an upstream of any build. See `docs/design/mixed-builds.md`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// Job of the item.
    pub job: JobId,
    /// Offset of the job's submission.
    pub submission: u64,
    /// The item.
    pub index: Index,
    /// The run.
    pub run: RunId,
    /// Service and build of the upstream that runs it.
    pub origin: Origin,
    /// The last run before it whose text is in the log; 0 if there is none.
    pub previous_run: RunId,
    /// Last event of that text. The run is a conflict if the text in the log is another one.
    pub previous_event: u64,
    /// Whether the run goes on with that text, which needs the same build. Otherwise it begins anew, and the text is discarded.
    pub resumes: bool,
}

/// A piece of the text of an item that is still running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Advance")]
pub struct Checkpoint {
    /// Job of the item.
    pub job: JobId,
    /// Offset of the job's submission.
    pub submission: u64,
    /// The item.
    pub index: Index,
    /// The piece.
    pub piece: Piece,
}

/// Consecutive events of an item's text, from one run at an upstream.
///
/// Runs of one item may produce different texts, so a piece is applied only if its run continues the text in the log: it
/// is the run of the last piece or of the last [`RunStart`], or, as long as the log has no [`RunStart`] of the item, it was asked to resume after that piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The run.
    pub run: RunId,
    /// Event after which the run was asked to resume; 0 for a run from the start.
    pub started_after: u64,
    /// The event before the first one of the piece.
    pub after: u64,
    /// Last event of the piece.
    pub last: u64,
    /// The data of the events, each followed by a line feed.
    pub text: Stored,
}

/// A takeover of partitions by a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Takeover {
    /// Identifies the takeover, so that its host recognizes its own record.
    pub id: TakeoverId,
    /// Name of the host.
    pub host: String,
}

/// The outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The item is completed, with the last piece of its text.
    Completed(Piece),
    /// The item was abandoned.
    Abandoned(Reason),
}

/// Why an item was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// An upstream reported that it can never succeed.
    Impossible,
    /// It failed the maximum number of times.
    Attempts,
    /// It did not finish within its retention period.
    Expired,
    /// Its route was removed from the configuration.
    RouteRemoved,
}

impl Contents {
    /// Returns their approximate size in bytes.
    pub fn size(&self) -> usize {
        let header = |header: &Header| header.name.len() + header.value.len();
        let content_size = |content: &Content| {
            content.body.len() + content.headers.iter().map(header).sum::<usize>()
        };
        self.0.iter().map(content_size).sum()
    }

    /// Encodes the contents as a record.
    pub fn encode(&self) -> Result<Bytes, Error> {
        Ok(encode_to_vec(self)?.into())
    }

    /// Decodes contents.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(postcard::from_bytes(content(bytes)?)?)
    }
}

impl Record {
    /// Encodes the record.
    pub fn encode(&self) -> Result<Bytes, Error> {
        let record = encode_to_vec(self)?;
        let position = self.submission().and_then(|it| it.position);
        match position {
            Some(position) => Ok(postcard::to_extend(&position, record)?.into()),
            None => Ok(record.into()),
        }
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (mut record, rest): (Self, _) = postcard::take_from_bytes(content(bytes)?)?;
        if !rest.is_empty()
            && let Some(submission) = record.submission_mut()
        {
            submission.position = Some(postcard::from_bytes(rest)?);
        }
        Ok(record)
    }

    /// Sets the location of the text if the record has one.
    pub fn set_text(&mut self, text: Stored) {
        match self {
            Self::Checkpointed(checkpoint) => checkpoint.piece.text = text,
            Self::Finished(finish) => {
                if let Outcome::Completed(piece) = &mut finish.result {
                    piece.text = text;
                }
            }
            Self::Submitted(_)
            | Self::SubmittedBy(..)
            | Self::Cancelled(_)
            | Self::Failed(_)
            | Self::RunStarted(_)
            | Self::TakenOver(_) => {}
        }
    }

    /// Returns the record of a submission, with or without a customer.
    pub fn submitted(customer: Option<id::Customer>, submission: Submission) -> Self {
        match customer {
            Some(customer) => Self::SubmittedBy(customer, submission),
            None => Self::Submitted(submission),
        }
    }

    /// Returns the submission if the record is one.
    pub fn submission(&self) -> Option<&Submission> {
        match self {
            Self::Submitted(submission) | Self::SubmittedBy(_, submission) => Some(submission),
            Self::Finished(_)
            | Self::Cancelled(_)
            | Self::Checkpointed(_)
            | Self::Failed(_)
            | Self::RunStarted(_)
            | Self::TakenOver(_) => None,
        }
    }

    fn submission_mut(&mut self) -> Option<&mut Submission> {
        match self {
            Self::Submitted(submission) | Self::SubmittedBy(_, submission) => Some(submission),
            Self::Finished(_)
            | Self::Cancelled(_)
            | Self::Checkpointed(_)
            | Self::Failed(_)
            | Self::RunStarted(_)
            | Self::TakenOver(_) => None,
        }
    }
}

fn encode_to_vec(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    let head = Vec::from([VERSION]);
    Ok(postcard::to_extend(value, head)?)
}

/// Returns the bytes after the version.
fn content(bytes: &[u8]) -> Result<&[u8], Error> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => Ok(rest),
        other => Err(Error::Version {
            found: other.map(|(version, _)| *version),
        }),
    }
}
