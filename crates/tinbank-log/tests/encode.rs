//! Envelopes put together from parts are the ones that `tinbank-base` reads.

use bytes::Bytes;
use proptest::prelude::*;
use tinbank_base::{
    clock::Stamp,
    id,
    record::{Envelope, Writer},
};
use tinbank_log::encode;
use tinbank_test_support::property;

proptest! {
    #![proptest_config(property::config(128))]

    #[test]
    fn groups_read_as_one_envelope(groups in prop::collection::vec(prop::collection::vec(any::<(u64, String)>(), 0..6), 0..6), sequence: u64, micros: u64) {
        let writer = Writer {
            process: id::Process { host: 7, role: id::Role::Batch },
            incarnation: 9,
        };
        let stamp = Stamp { micros, counter: 3 };
        let records: Vec<_> = groups.concat();
        let parts: Vec<Bytes> = groups.iter().map(|group| encode::records(group)).collect();

        let payload = encode::envelope(writer, sequence, stamp, records.len(), &parts);

        let envelope = Envelope { writer, sequence, stamp, records };
        prop_assert_eq!(&payload, &envelope.encode());
        prop_assert_eq!(Envelope::decode(&payload), Ok(envelope));
    }
}
