//! Which job partitions a process owns, and when it may start their items.
//!
//! A process learns that a partition was reassigned only with its next join call, and runs items of it until then. To
//! avoid running items twice, the previous owner stops its runs and checkpoints them, while the new owner waits for
//! `HANDOVER_DELAY` before it starts any.
//!
//! It also waits until it has read a record of its takeover in the job log. By then it knows what previous owners have written, and that
//! it can write itself: an owner that can't would take what it learns of its items with it when it is lost.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::record::TakeoverId;

/// Number of a partition.
pub type Partition = u32;

/// How long a new owner waits: the previous owner joins every 500 ms, then writes its last checkpoints.
pub const HANDOVER_DELAY: Duration = Duration::from_millis(1_000);

/// Partitions that were taken from a process.
pub type Revoked = SmallVec<[Partition; 8]>;

/// The partitions that a process owns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partitions {
    owned: Vec<Owned>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Owned {
    partition: Partition,
    /// From when on items of the partition may start.
    starts_at: Instant,
    /// The takeover whose record must be read before.
    takeover: Option<TakeoverId>,
}

impl Partitions {
    /// Replaces the owned partitions, and returns those that are no longer owned, whose items have to stop. New ones need the record of a
    /// takeover.
    pub fn assign(
        &mut self,
        partitions: &[Partition],
        takeover: TakeoverId,
        now: Instant,
    ) -> Revoked {
        let revoked = self.owned.iter().map(|owned| owned.partition);
        let revoked = revoked.filter(|it| !partitions.contains(it)).collect();
        let owned = partitions.iter().map(|partition| {
            let kept = self.owned.iter().find(|it| it.partition == *partition);
            kept.copied().unwrap_or(Owned {
                partition: *partition,
                starts_at: now + HANDOVER_DELAY,
                takeover: Some(takeover),
            })
        });
        self.owned = owned.collect();
        revoked
    }

    /// Requires the record of a takeover for all owned partitions, since others may have owned them meanwhile.
    pub fn take_over_again(&mut self, takeover: TakeoverId) {
        for owned in &mut self.owned {
            owned.takeover = Some(takeover);
        }
    }

    /// Returns whether any partition waits for the record of a takeover.
    pub fn awaits(&self, takeover: TakeoverId) -> bool {
        let mut owned = self.owned.iter();
        owned.any(|it| it.takeover == Some(takeover))
    }

    /// Handles the record of a takeover in the log.
    pub fn on_taken_over(&mut self, takeover: TakeoverId) {
        let awaiting = self.owned.iter_mut();
        for owned in awaiting.filter(|it| it.takeover == Some(takeover)) {
            owned.takeover = None;
        }
    }

    /// Returns whether the process owns a partition.
    pub fn owns(&self, partition: Partition) -> bool {
        self.owned.iter().any(|it| it.partition == partition)
    }

    /// Returns whether the process may start items of a partition at `now`.
    pub fn may_start(&self, partition: Partition, now: Instant) -> bool {
        let mut owned = self.owned.iter();
        owned.any(|it| it.partition == partition && now >= it.starts_at && it.takeover.is_none())
    }

    /// Returns the owned partitions.
    pub fn iter(&self) -> impl Iterator<Item = Partition> {
        self.owned.iter().map(|owned| owned.partition)
    }
}
