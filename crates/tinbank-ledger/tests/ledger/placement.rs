//! Placement must never change: pins the values computed by the first release.

use tinbank_ledger::placement;
use yare::parameterized;

use crate::fixture;

#[test]
fn ids_and_shards_do_not_change_between_versions() {
    let job = placement::job_id("water", "sweep 1");
    let claim = placement::claim_key("water", "sweep 1");

    let shards: Vec<_> = (0..5)
        .map(|chunk| placement::shard_of_chunk(job, chunk, 4, 16))
        .collect();

    assert_eq!(job, 0x6e52_8ce1_dad0_845a_d2a8_590e_168a_b3f0);
    assert_eq!(claim, 0xf72f_f702_4d25_91fd_3e68_7292_d921_46b9);
    assert_eq!(placement::shard_of_job(job, 16), 0);
    assert_eq!(placement::shard_of_job(job, 512), 496);
    assert_eq!(shards, [11, 12, 13, 14, 11]);
}

#[parameterized(
    one_item = { 1, 512, 1 },
    full_shard = { 2_048, 512, 1 },
    one_item_more = { 2_049, 512, 2 },
    large_job_512_shards = { 810_000, 512, 396 },
    large_job_16_shards = { 810_000, 16, 16 },
    no_items = { 0, 16, 1 },
)]
fn a_job_is_spread_over_one_shard_for_each_items_per_shard(items: u32, shards: u16, expected: u16) {
    assert_eq!(placement::shards_for(items, shards), expected);
}

#[parameterized(
    fewer_chunks_than_shards = { 1, 2 },
    even = { 4, 2 },
    uneven = { 5, 2 },
    one_shard = { 5, 1 },
)]
fn chunks_in_agrees_with_shard_of_chunk(chunks: u32, spread: u16) {
    let job = fixture::job_in(1);

    let head = fixture::head(job, 1, chunks, chunks, spread);

    let spread = head.shards.len() as u16;
    for shard in 0..fixture::SHARDS {
        let here = (0..chunks)
            .filter(|chunk| {
                placement::shard_of_chunk(job, *chunk, spread, fixture::SHARDS) == shard
            })
            .count();
        assert_eq!(
            placement::chunks_in(&head, shard, fixture::SHARDS) as usize,
            here
        );
        assert_eq!(head.shards.contains(&shard), here > 0);
    }
}
