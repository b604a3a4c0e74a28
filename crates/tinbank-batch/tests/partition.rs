//! Static partition of an engine's slots.

use tinbank_batch::runner::partition::slots_for_rank;
use yare::parameterized;

#[parameterized(
    fewer_slots_than_processes = { 6, 9 },
    as_many = { 8, 8 },
    more = { 8, 3 },
    none = { 0, 9 },
)]
fn every_slot_is_allocated_once(slots: u32, processes: usize) {
    let parts: Vec<_> = (0..processes)
        .map(|rank| slots_for_rank(slots, processes, rank))
        .collect();

    let (least, most) = (parts.iter().min(), parts.iter().max());

    assert_eq!(parts.iter().sum::<u32>(), slots);
    assert!(most.unwrap_or(&0) - least.unwrap_or(&0) <= 1);
}
