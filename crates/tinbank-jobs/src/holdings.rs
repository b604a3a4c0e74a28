//! Which partitions of jobs a process holds, and from when on it may run their items.
//!
//! When partitions are dealt anew, the process that held one hears of it with its next call, and runs items until then. A new
//! holder that begins at once runs the same items beside it, and what one of them has made is for nothing. So the one before
//! stops at once and writes how far it has got, and the new one waits until that is written.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Number of a partition.
pub type Partition = u32;

/// How long a new holder waits. Source: the holder before asks for its partitions each 500 ms; the rest is for its call, its
/// last records and the read that brings them here.
pub const HANDOVER: Duration = Duration::from_millis(1_000);

/// Partitions that a process has lost.
pub type Lost = SmallVec<[Partition; 8]>;

/// The partitions that a process holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    held: Vec<Holding>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holding {
    partition: Partition,
    /// Items of the partition may start from then on.
    starts_at: Instant,
}

impl Holdings {
    /// Takes in what the process holds from now on. Those that it holds no more, whose items have to stop.
    pub fn assign(&mut self, partitions: &[Partition], now: Instant) -> Lost {
        let lost = self.held.iter().map(|holding| holding.partition);
        let lost = lost.filter(|it| !partitions.contains(it)).collect();
        let held = partitions.iter().map(|partition| {
            let kept = self.held.iter().find(|it| it.partition == *partition);
            kept.copied().unwrap_or(Holding {
                partition: *partition,
                starts_at: now + HANDOVER,
            })
        });
        self.held = held.collect();
        lost
    }

    /// True if the process holds a partition.
    pub fn has(&self, partition: Partition) -> bool {
        self.held.iter().any(|it| it.partition == partition)
    }

    /// True if the process may start items of a partition now.
    pub fn may_start(&self, partition: Partition, now: Instant) -> bool {
        let mut held = self.held.iter();
        held.any(|it| it.partition == partition && now >= it.starts_at)
    }

    /// The partitions, for logs.
    pub fn partitions(&self) -> impl Iterator<Item = Partition> {
        self.held.iter().map(|holding| holding.partition)
    }
}
