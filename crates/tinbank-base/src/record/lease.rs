//! Lease records: who owns a shard of work or the orders to a group of engines.

use serde::{Deserialize, Serialize};

use crate::id;

/// A step in the life of a lease. The holder is the envelope's writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Lease {
    /// Takes the lease. In a work shard it counts only if `expected` is the offset of the last lease record that counted before it
    /// in the stream (`None`: there was none). Any envelope of the holder counts as a renewal.
    /// In the `fleet` stream it counts only if `expected` is the offset right before its own; see `docs/design/fleet.md`.
    Take {
        /// The term that begins.
        epoch: id::Epoch,
        /// The lease record that the writer saw last.
        expected: Option<id::Offset>,
    },
    /// Shows that the holder lives when it has nothing else to append.
    Renew {
        /// The holder's term.
        epoch: id::Epoch,
    },
    /// Gives the lease back, at a planned stop or when the shard is idle.
    Release {
        /// The holder's term.
        epoch: id::Epoch,
    },
}
