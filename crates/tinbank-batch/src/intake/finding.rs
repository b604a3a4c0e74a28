//! What is wrong with a job's body.

use tinbank_base::outcome::{Code, Failure};

/// A fault in the body of a job, with its place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct Finding {
    /// Number of the line, from 1.
    pub line: u64,
    /// What is wrong there.
    pub kind: Kind,
}

/// Kinds of faults.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Kind {
    /// Not JSON, or not of the expected form.
    #[error("{0}")]
    Malformed(String),
    /// The body of the item is not an object.
    #[error("`body` has to be a JSON object")]
    Body,
    /// The name of the item is empty.
    #[error("`custom_id` is empty")]
    EmptyId,
    /// The name of the item is too long.
    #[error("`custom_id` has {size} bytes, the limit is {limit}")]
    LongId {
        /// Its length, in bytes.
        size: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The name stands on an earlier line as well.
    #[error("`custom_id` {0:?} stands on an earlier line as well")]
    Duplicate(String),
    /// The line is too long.
    #[error("the line is longer than {limit} bytes")]
    LongLine {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The job has too many items.
    #[error("a job takes at most {limit} items")]
    Items {
        /// The limit.
        limit: u32,
    },
    /// The body is too large.
    #[error("a job takes at most {limit} bytes")]
    Bytes {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The body has no item.
    #[error("the body has no item")]
    Empty,
}

impl From<Finding> for Failure {
    fn from(finding: Finding) -> Self {
        let code = match finding.kind {
            Kind::LongLine { .. } | Kind::Items { .. } | Kind::Bytes { .. } => Code::TooLarge,
            _ => Code::BadRequest,
        };
        Self::not_run(code, finding.to_string()).help(
            "nothing of the job was taken in; each line is an object with `custom_id`, `body` and, optionally, `repeatable`",
        )
    }
}
