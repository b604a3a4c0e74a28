//! Where things stand: which shard holds a job's head, its chunks, or a claim.
//!
//! All hosts and all versions have to agree on these functions for as long as any record lives, so
//! they may never change; `tests/placement.rs` pins them with literal values.

use tinbank_base::{
    digest, id,
    record::{claim, work},
};

/// Items of a job that are worth a shard of their own.
pub const ITEMS_PER_SHARD: id::Item = 2_048;

/// Largest number of items in a chunk that intake writes.
pub const ITEMS_PER_CHUNK: usize = 256;

const JOB: &[u8] = b"tinbank job";
const CLAIM: &[u8] = b"tinbank claim";
const CHUNKS: &[u8] = b"tinbank chunks";

/// The id of a job from its customer and idempotency key, so that a resend names the same job.
pub fn job_id(customer: &str, key: &str) -> id::Job {
    digest::prefix(&digest::of_fields(&[
        JOB,
        customer.as_bytes(),
        key.as_bytes(),
    ]))
}

/// The key of an online claim from its customer and idempotency key.
pub fn claim_key(customer: &str, key: &str) -> claim::Key {
    digest::prefix(&digest::of_fields(&[
        CLAIM,
        customer.as_bytes(),
        key.as_bytes(),
    ]))
}

/// The shard that holds the head of a job. `shards` is the number of shards of the deployment, at least 1.
pub fn shard_of_job(job: id::Job, shards: u16) -> id::Shard {
    reduce(job, shards)
}

/// The shard that holds a claim.
pub fn shard_of_claim(key: claim::Key, shards: u16) -> id::Shard {
    reduce(key, shards)
}

/// How many shards a job of so many items is spread over: no more than its size is worth.
pub fn shards_for(items: id::Item, shards: u16) -> u16 {
    let worth = items.div_ceil(ITEMS_PER_SHARD).max(1);
    u16::try_from(worth).unwrap_or(u16::MAX).min(shards.max(1))
}

/// The shard of a chunk of a job that is spread over `spread` shards.
///
/// Chunks go round the job's shards in turn, which start at a hash of the job: an even spread, and the number
/// of chunks in each shard follows from the head alone.
pub fn shard_of_chunk(job: id::Job, chunk: id::Chunk, spread: u16, shards: u16) -> id::Shard {
    let shards = shards.max(1);
    let turn = chunk % u32::from(spread.clamp(1, shards));
    let place = (u32::from(first_shard(job, shards)) + turn) % u32::from(shards);
    place as id::Shard
}

/// The shards of a job's chunks, ascending, as its head lists them.
pub fn shards_of_chunks(
    job: id::Job,
    chunks: id::Chunk,
    spread: u16,
    shards: u16,
) -> smallvec::SmallVec<[id::Shard; 8]> {
    let used = chunks.min(u32::from(spread.clamp(1, shards.max(1))));
    let mut list: smallvec::SmallVec<[id::Shard; 8]> = (0..used)
        .map(|chunk| shard_of_chunk(job, chunk, spread, shards))
        .collect();
    list.sort_unstable();
    list
}

/// How many chunks of a job a shard holds.
pub fn chunks_in(head: &work::Head, shard: id::Shard, shards: u16) -> id::Chunk {
    let spread = u16::try_from(head.shards.len()).unwrap_or(u16::MAX);
    (0..u32::from(spread))
        .filter(|turn| shard_of_chunk(head.job, *turn, spread, shards) == shard)
        .map(|turn| head.chunks.saturating_sub(turn).div_ceil(u32::from(spread)))
        .sum()
}

fn first_shard(job: id::Job, shards: u16) -> id::Shard {
    let hash = digest::prefix(&digest::of_fields(&[CHUNKS, &job.to_be_bytes()]));
    reduce(hash, shards)
}

fn reduce(hash: u128, shards: u16) -> id::Shard {
    (hash % u128::from(shards.max(1))) as id::Shard
}
