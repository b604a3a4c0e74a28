//! Leases of shards: what the records mean ([`Lease`]) and when to append one ([`Contender`]).
//!
//! No two clocks are compared: see `docs/design/leases.md`.

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
    /// Which process and start.
    pub writer: Writer,
    /// Its term.
    pub epoch: id::Epoch,
}

/// The fold of a shard's lease records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Offset of the last record that counted; any envelope of the holder counts as a renewal.
    pub last: Option<id::Offset>,
    /// The newest term; 0 before the first.
    pub epoch: id::Epoch,
    /// Who holds the lease now.
    pub holder: Option<Holder>,
}

/// What a lease record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new term began.
    Taken(Holder),
    /// The holder gave the lease back.
    Released(Holder),
}

impl Lease {
    /// The term of a writer, if it holds the lease.
    pub fn term(&self, writer: Writer) -> Option<id::Epoch> {
        self.holder
            .filter(|holder| holder.writer == writer)
            .map(|holder| holder.epoch)
    }

    /// Takes in that an envelope of `writer` stands at `offset`; called after its records.
    pub fn record_envelope(&mut self, writer: Writer, offset: id::Offset) {
        if self.term(writer).is_some() {
            self.last = Some(offset);
        }
    }

    /// Takes in a lease record.
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
