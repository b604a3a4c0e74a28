//! Leases of shards: the state folded from lease records ([`Lease`]), and when to append one ([`Contender`]).
//!
//! Clocks of different hosts are never compared: see `docs/design/leases.md`.

mod contender;

pub use contender::{Contender, Step, Timings, Want};

use serde::{Deserialize, Serialize};
use tinbank_base::{
    id,
    record::{Writer, lease},
};

/// The process that holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Process and incarnation.
    pub writer: Writer,
    /// Its term.
    pub epoch: id::Epoch,
}

/// State of a shard's lease, folded from its records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Offset of the last accepted lease record or renewal. Any envelope of the holder renews the lease.
    pub last: Option<id::Offset>,
    /// Latest term, or 0 before the first one.
    pub epoch: id::Epoch,
    /// Current holder.
    pub holder: Option<Holder>,
}

/// Change made by a lease record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A process took the lease and started a new term.
    Taken(Holder),
    /// The holder released the lease.
    Released(Holder),
}

impl Lease {
    /// Returns the term of a writer if it holds the lease.
    pub fn term(&self, writer: Writer) -> Option<id::Epoch> {
        self.holder
            .filter(|holder| holder.writer == writer)
            .map(|holder| holder.epoch)
    }

    /// Records an envelope of `writer` at `offset`, which renews the lease if the writer holds it. Must be called after
    /// the records of the envelope were applied.
    pub fn record_envelope(&mut self, writer: Writer, offset: id::Offset) {
        if self.term(writer).is_some() {
            self.last = Some(offset);
        }
    }

    /// Applies a lease record.
    pub fn apply(
        &mut self,
        offset: id::Offset,
        writer: Writer,
        record: lease::Lease,
    ) -> Option<Change> {
        match record {
            lease::Lease::Take { epoch, expected } => self.take(offset, writer, epoch, expected),
            lease::Lease::Renew { .. } => None,
            lease::Lease::Release { epoch } => self.release(offset, writer, epoch),
        }
    }

    fn take(
        &mut self,
        offset: id::Offset,
        writer: Writer,
        epoch: id::Epoch,
        expected: Option<id::Offset>,
    ) -> Option<Change> {
        if expected != self.last || Some(epoch) != self.epoch.checked_add(1) {
            return None;
        }
        let holder = Holder { writer, epoch };
        *self = Self {
            last: Some(offset),
            epoch,
            holder: Some(holder),
        };
        Some(Change::Taken(holder))
    }

    fn release(&mut self, offset: id::Offset, writer: Writer, epoch: id::Epoch) -> Option<Change> {
        let holder = Holder { writer, epoch };
        if self.holder != Some(holder) {
            return None;
        }
        self.holder = None;
        self.last = Some(offset);
        Some(Change::Released(holder))
    }
}
