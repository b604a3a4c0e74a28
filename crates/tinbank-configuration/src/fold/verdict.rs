//! Verdicts on changes.

use tinbank_base::{id, record::config::Object};

use crate::finding::Finding;

/// The result of judging a change at its offset in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change is active.
    Accepted {
        /// The new revision of the object.
        revision: id::Revision,
    },
    /// The change is based on a revision that is no longer current.
    Overtaken {
        /// The current revision of the object; `None` if it does not exist.
        current: Option<id::Revision>,
        /// Author of that revision or of the deletion, if known.
        by: Option<String>,
    },
    /// The text is invalid in itself or together with the other objects.
    Invalid {
        /// All mistakes that were found.
        findings: Vec<Finding>,
    },
    /// A duplicate of a change that was judged earlier. The earlier verdict applies.
    Copy,
}

/// A change with its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judged {
    /// Offset of the entry that contains it.
    pub offset: id::Offset,
    /// Id of the change.
    pub change: u128,
    /// The object that it changes.
    pub object: Object,
    /// Author of the change.
    pub author: String,
    /// Result of the change.
    pub verdict: Verdict,
}
