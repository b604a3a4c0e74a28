//! Validation errors of a job's body.

use tinbank_base::outcome::{Code, Failure};

/// A validation error in the body of a job, with its line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct Finding {
    /// Line number, starting at 1.
    pub line: u64,
    pub kind: Kind,
}

/// Kinds of validation errors.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Kind {
    /// The line is not JSON or does not have the expected fields.
    #[error("{0}")]
    Malformed(String),
    /// The item's `body` is not a JSON object.
    #[error("`body` has to be a JSON object")]
    Body,
    /// The item's `custom_id` is empty.
    #[error("`custom_id` is empty")]
    EmptyId,
    /// The item's `custom_id` is too long.
    #[error("`custom_id` has {size} bytes, the limit is {limit}")]
    LongId {
        /// Its length, in bytes.
        size: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// An earlier line has the same `custom_id`.
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
    /// The job's body is too large.
    #[error("a job takes at most {limit} bytes")]
    Bytes {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The job's body has no items.
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
