//! Fragments of large records.

use bytes::Bytes;
use proptest::prelude::*;
use tinbank_jobs::fragment::{Joiner, split};
use tinbank_test_support::property;

proptest! {
    #![proptest_config(property::config(300))]

    #[test]
    fn joining_the_fragments_of_records_returns_the_records_and_their_offsets(
        records in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 1..10),
        limit in 2..20usize,
    ) {
        let mut joiner = Joiner::default();
        let mut offset = 0;
        let mut joined = Vec::new();
        let mut offsets = Vec::new();

        for record in &records {
            offsets.push(offset);
            for fragment in split(&Bytes::copy_from_slice(record), limit) {
                prop_assert!(fragment.len() <= limit);
                joined.extend(joiner.push(offset, &fragment));
                offset += 1;
            }
        }

        let found: Vec<u64> = joined.iter().map(|record| record.offset).collect();
        let bytes: Vec<Vec<u8>> = joined.into_iter().map(|record| record.bytes.to_vec()).collect();
        prop_assert_eq!(bytes, records);
        prop_assert_eq!(found, offsets);
    }
}

#[test]
fn reset_discards_the_fragments_of_an_incomplete_record() {
    let record = Bytes::from_static(b"0123456789");
    let fragments = split(&record, 4);
    let mut joiner = Joiner::default();
    joiner.push(0, &fragments[0]);

    joiner.reset();
    let record_after_reset = joiner
        .push(5, &split(&Bytes::from_static(b"x"), 4)[0])
        .unwrap();

    assert_eq!(record_after_reset.bytes, "x");
    assert_eq!(record_after_reset.offset, 5);
}
