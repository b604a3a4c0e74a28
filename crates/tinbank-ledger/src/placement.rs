//! Maps jobs, chunks and claims to shards.
//!
//! All hosts and versions must agree on these functions for as long as any record is stored, so they must never
//! change. `tests/ledger/placement.rs` pins them with literal values.

use tinbank_base::{
    digest, id,
    record::{claim, work},
};

/// Number of items of a job for each shard that it is spread over.
pub const ITEMS_PER_SHARD: id::Item = 2_048;

/// Largest number of items in a chunk written by intake.
pub const ITEMS_PER_CHUNK: usize = 256;

const JOB: &[u8] = b"tinbank job";
const CLAIM: &[u8] = b"tinbank claim";
const CHUNKS: &[u8] = b"tinbank chunks";

/// Derives the id of a job from its customer and idempotency key, so that a retried request refers to the same job.
pub fn job_id(customer: &str, key: &str) -> id::Job {
    digest::prefix(&digest::of_fields(&[
        JOB,
        customer.as_bytes(),
        key.as_bytes(),
    ]))
}

/// Derives the key of an online claim from its customer and idempotency key.
pub fn claim_key(customer: &str, key: &str) -> claim::Key {
    digest::prefix(&digest::of_fields(&[
        CLAIM,
        customer.as_bytes(),
        key.as_bytes(),
    ]))
}

/// Returns the shard that holds the head of a job. `shards` is the number of shards of the deployment, at least 1.
pub fn shard_of_job(job: id::Job, shards: u16) -> id::Shard {
    reduce(job, shards)
}

/// Returns the shard that holds a claim.
pub fn shard_of_claim(key: claim::Key, shards: u16) -> id::Shard {
    reduce(key, shards)
}

/// Returns the number of shards that a job with `items` items is spread over: one for every [`ITEMS_PER_SHARD`].
pub fn shards_for(items: id::Item, shards: u16) -> u16 {
    let wanted = items.div_ceil(ITEMS_PER_SHARD).max(1);
    u16::try_from(wanted).unwrap_or(u16::MAX).min(shards.max(1))
}

/// Returns the shard of a chunk of a job that is spread over `spread` shards.
///
/// Chunks are assigned round-robin to consecutive shards, starting at a hash of the job. The load is spread evenly, and
/// the number of chunks in each shard follows from the head alone.
pub fn shard_of_chunk(job: id::Job, chunk: id::Chunk, spread: u16, shards: u16) -> id::Shard {
    let shards = shards.max(1);
    let index = chunk % u32::from(spread.clamp(1, shards));
    let shard = (u32::from(first_shard(job, shards)) + index) % u32::from(shards);
    shard as id::Shard
}

/// Returns the shards of a job's chunks in ascending order, as listed in its head.
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

/// Returns the number of chunks of a job in a shard.
pub fn chunks_in(head: &work::Head, shard: id::Shard, shards: u16) -> id::Chunk {
    let spread = u16::try_from(head.shards.len()).unwrap_or(u16::MAX);
    (0..u32::from(spread))
        .filter(|index| shard_of_chunk(head.job, *index, spread, shards) == shard)
        .map(|index| {
            head.chunks
                .saturating_sub(index)
                .div_ceil(u32::from(spread))
        })
        .sum()
}

fn first_shard(job: id::Job, shards: u16) -> id::Shard {
    let hash = digest::prefix(&digest::of_fields(&[CHUNKS, &job.to_be_bytes()]));
    reduce(hash, shards)
}

fn reduce(hash: u128, shards: u16) -> id::Shard {
    (hash % u128::from(shards.max(1))) as id::Shard
}
