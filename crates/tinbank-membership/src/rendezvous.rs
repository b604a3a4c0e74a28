//! Rendezvous hashing: every process ranks the same members in the same order for a key, and the loss of a member moves
//! only the keys that it ranked first for.

use std::{cmp::Reverse, hash::Hasher};

use siphasher::sip::SipHasher13;
use tinbank_base::{id, peer::Member};

/// What members are ranked for. Keys of different kinds with the same number rank differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// The owner of a work shard.
    Shard(id::Shard),
    /// The admission controllers of an engine.
    Upstream(id::Upstream),
    /// The preferred holder of the fleet lease.
    Fleet,
}

impl Key {
    fn hash_input(self) -> (u8, u32) {
        match self {
            Self::Shard(shard) => (1, shard.into()),
            Self::Upstream(upstream) => (2, upstream),
            Self::Fleet => (3, 0),
        }
    }
}

/// Returns the members in order of rank for a key. The incarnation does not count, so that a restart moves nothing.
pub fn rank<'a>(members: impl IntoIterator<Item = &'a Member>, key: Key) -> Vec<&'a Member> {
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_by_cached_key(|member| {
        let process = member.writer.process;
        (Reverse(weight(process, key)), process)
    });
    ranked
}

/// Returns the weight of a process for a key; the largest ranks first.
pub fn weight(process: id::Process, key: Key) -> u64 {
    let (kind, number) = key.hash_input();
    let mut hasher = SipHasher13::new();
    hasher.write_u8(kind);
    hasher.write_u32(number);
    hasher.write_u32(process.host);
    hasher.write_u8(process.role as u8);
    hasher.finish()
}
