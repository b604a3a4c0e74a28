//! Records in pieces.

use bytes::Bytes;
use proptest::prelude::*;
use tinbank_jobs::fragment::{Joiner, split};
use tinbank_test_support::property;

proptest! {
    #![proptest_config(property::config(300))]

    #[test]
    fn records_come_back_from_their_pieces(
        records in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 1..10),
        limit in 2..20usize,
    ) {
        let mut joiner = Joiner::default();
        let mut offset = 0;
        let mut joined = Vec::new();
        let mut offsets = Vec::new();

        for record in &records {
            offsets.push(offset);
            for piece in split(&Bytes::copy_from_slice(record), limit) {
                prop_assert!(piece.len() <= limit);
                joined.extend(joiner.push(offset, &piece));
                offset += 1;
            }
        }

        let found: Vec<u64> = joined.iter().map(|whole| whole.offset).collect();
        let bytes: Vec<Vec<u8>> = joined.into_iter().map(|whole| whole.bytes.to_vec()).collect();
        prop_assert_eq!(bytes, records);
        prop_assert_eq!(found, offsets);
    }
}

#[test]
fn a_record_whose_first_pieces_are_gone_does_not_join_the_next() {
    let record = Bytes::from_static(b"0123456789");
    let pieces = split(&record, 4);
    let mut joiner = Joiner::default();
    joiner.push(0, &pieces[0]);

    joiner.reset();
    let whole = joiner
        .push(5, &split(&Bytes::from_static(b"x"), 4)[0])
        .unwrap();

    assert_eq!(whole.bytes, "x");
    assert_eq!(whole.offset, 5);
}
