//! Records of the configuration stream. See `docs/design/configuration.md`.

use std::fmt;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Writer;
use crate::id;

/// A configuration object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Object {
    /// A template for customers.
    Template(String),
    /// The parameters of a customer.
    Customer(id::Customer),
    /// Whether operators have taken an entry host out of use.
    Host(id::Host),
    /// Whether operators have taken an upstream out of use.
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

/// A change of an object. It is accepted only if `base` is the object's revision at this position in the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Random id from the operator's tool, which identifies a change that is resent after a lost answer.
    pub change: u128,
    pub object: Object,
    /// The revision that the change is based on; `None` if the object does not exist.
    pub base: Option<id::Revision>,
    /// The new JSON text; `None` deletes the object.
    pub body: Option<String>,
    /// Display name of the author.
    pub author: String,
}

/// An object in a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    pub object: Object,
    pub revision: id::Revision,
    /// JSON text; `None` if the object was deleted.
    pub body: Option<String>,
    /// Display name of the revision's author.
    pub author: String,
}

/// Summary of a recent envelope in a checkpoint, used to detect later duplicates of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recent {
    pub offset: id::Offset,
    pub writer: Writer,
    /// Sequence number of the envelope.
    pub sequence: u64,
    /// Ids of the changes in the envelope.
    pub changes: SmallVec<[u128; 1]>,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    Put(Put),
    /// A part of the state as of `through`, appended before retention removes the records that it replaces. The parts of a
    /// checkpoint have the same `through` and are numbered; only a complete set is valid.
    Checkpoint {
        /// Last offset that the checkpoint covers.
        through: id::Offset,
        /// Number of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        objects: Vec<Kept>,
        recent: Vec<Recent>,
    },
}
