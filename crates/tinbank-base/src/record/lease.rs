//! Lease records: ownership of a work shard, or of the orders to a group of engines.

use serde::{Deserialize, Serialize};

use crate::id;

/// A change of a lease. The holder is the envelope's writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Lease {
    /// Takes the lease. In a work shard it is valid only if `expected` is the offset of the latest valid lease record before it
    /// (`None` if there is none), and any envelope of the holder renews the lease. In the `fleet` stream it is valid only if
    /// `expected` is the offset directly before its own; see `docs/design/fleet.md`.
    Take {
        /// Term that starts.
        epoch: id::Epoch,
        /// Offset of the latest lease record known to the writer.
        expected: Option<id::Offset>,
    },
    /// Renews the lease if the holder has nothing else to append.
    Renew {
        /// Term of the holder.
        epoch: id::Epoch,
    },
    /// Releases the lease, on a planned stop or if the shard is idle.
    Release {
        /// Term of the holder.
        epoch: id::Epoch,
    },
}
