//! Which shard holds what of a job.

use smallvec::SmallVec;
use tinbank_base::id;

/// How many chunks in a row share a shard, so that a small job stays within one.
pub const STRIPE: id::Chunk = 4;

/// The shard of a job's head. Job ids are digests or random, so their low bits spread evenly.
pub fn head(job: id::Job, shards: id::Shard) -> id::Shard {
    (job % u128::from(shards.max(1))) as id::Shard
}

/// The shard of a chunk: the head's for the first stripe, then the following ones in turn.
pub fn chunk(job: id::Job, chunk: id::Chunk, shards: id::Shard) -> id::Shard {
    let shards = shards.max(1);
    let stripe = u64::from(chunk / STRIPE) + u64::from(head(job, shards));
    (stripe % u64::from(shards)) as id::Shard
}

/// All shards of a job of so many chunks, ascending.
pub fn shards(job: id::Job, chunks: id::Chunk, shards: id::Shard) -> SmallVec<[id::Shard; 8]> {
    let stripes = chunks.div_ceil(STRIPE).min(id::Chunk::from(shards.max(1)));
    let mut used: SmallVec<[id::Shard; 8]> = (0..stripes)
        .map(|stripe| chunk(job, stripe * STRIPE, shards))
        .collect();
    used.sort_unstable();
    used
}
