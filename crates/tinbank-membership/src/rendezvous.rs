//! Rendezvous hashing: every process ranks the same members in the same order for a key, and the loss of one
//! member moves only the keys that it was first for.

use std::{cmp::Reverse, hash::Hasher};

use siphasher::sip::SipHasher13;
use tinbank_base::{id, peer::Member};

/// Keys for ranks: what is shared out, so that shard 3 and engine 3 don't rank alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// Ownership of a work shard.
    Shard(id::Shard),
    /// Admission control of an engine.
    Upstream(id::Upstream),
    /// The holder of orders.
    Fleet,
}

impl Key {
    fn numbers(self) -> (u8, u32) {
        match self {
            Self::Shard(shard) => (1, shard.into()),
            Self::Upstream(upstream) => (2, upstream),
            Self::Fleet => (3, 0),
        }
    }
}

/// The members in rank for a key, the first one first. Only the process counts, not its incarnation, so that a
/// restart moves nothing.
pub fn rank<'a>(members: impl IntoIterator<Item = &'a Member>, key: Key) -> Vec<&'a Member> {
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_by_cached_key(|member| {
        let process = member.writer.process;
        (Reverse(weight(process, key)), process)
    });
    ranked
}

/// The weight of a process for a key; the largest is first in rank.
pub fn weight(process: id::Process, key: Key) -> u64 {
    let (kind, number) = key.numbers();
    let mut hasher = SipHasher13::new();
    hasher.write_u8(kind);
    hasher.write_u32(number);
    hasher.write_u32(process.host);
    hasher.write_u8(process.role as u8);
    hasher.finish()
}
