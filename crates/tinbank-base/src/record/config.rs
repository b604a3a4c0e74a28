//! Records of the configuration stream. See `docs/design/configuration.md`.

use std::fmt;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Writer;
use crate::id;

/// What a change is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Object {
    /// A template that customers are made from.
    Template(String),
    /// A customer's parameters.
    Customer(id::Customer),
    /// Whether operators want an entry host left alone.
    Host(id::Host),
    /// Whether operators want an upstream left alone.
    Upstream(id::Upstream),
}

impl fmt::Display for Object {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Template(name) => write!(f, "template {name}"),
            Self::Customer(name) => write!(f, "customer {name}"),
            Self::Host(host) => write!(f, "host {host}"),
            Self::Upstream(upstream) => write!(f, "upstream {upstream}"),
        }
    }
}

/// A change of one object. It is accepted only if `base` is the object's revision at its place in the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Drawn by the operator's tool, so that a change resent after a lost answer is told apart from a second one.
    pub change: u128,
    /// What is changed.
    pub object: Object,
    /// The revision that the change was made from; `None` for an object that does not exist.
    pub base: Option<id::Revision>,
    /// The new text as JSON; `None` deletes the object.
    pub body: Option<String>,
    /// Who changed it, for people.
    pub author: String,
}

/// One object in a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Which object.
    pub object: Object,
    /// Its revision.
    pub revision: id::Revision,
    /// Its text; `None` if it was deleted.
    pub body: Option<String>,
    /// Who made that revision, for people.
    pub author: String,
}

/// What a checkpoint keeps of a recent envelope, so that a copy of it that comes later is known as one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recent {
    /// Where it stands.
    pub offset: id::Offset,
    /// Who wrote it.
    pub writer: Writer,
    /// Its number.
    pub sequence: u64,
    /// The changes in it.
    pub changes: SmallVec<[u128; 1]>,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A change.
    Put(Put),
    /// Part of the state as of `through`, appended before retention takes the records it stands for. Parts of one
    /// checkpoint share `through` and are numbered; only a complete set counts.
    Checkpoint {
        /// The fold up to and including this offset is in the checkpoint.
        through: id::Offset,
        /// Number of this part, from 0.
        part: u32,
        /// How many parts there are.
        parts: u32,
        /// The objects of this part.
        objects: Vec<Kept>,
        /// The recent envelopes of this part.
        recent: Vec<Recent>,
    },
}
