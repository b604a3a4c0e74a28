//! What became of a change.

use tinbank_base::{id, record::config::Object};

use crate::finding::Finding;

/// What the fold says of a change, at the change's place in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force.
    Accepted {
        /// The object's revision from now on.
        revision: id::Revision,
    },
    /// It was made from a revision that is not the object's any more.
    Overtaken {
        /// The object's revision; `None` if it does not exist.
        current: Option<id::Revision>,
        /// Who made that revision, or deleted the object, as far as it is known.
        by: Option<String>,
    },
    /// Its text is not valid at its place.
    Invalid {
        /// All that is wrong.
        findings: Vec<Finding>,
    },
    /// It is a copy of a change that was judged before. That verdict holds.
    Copy,
}

/// A change with its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judged {
    /// Where it stands.
    pub offset: id::Offset,
    /// The change's own number.
    pub change: u128,
    /// What it changes.
    pub object: Object,
    /// Who made it.
    pub author: String,
    /// What became of it.
    pub verdict: Verdict,
}
