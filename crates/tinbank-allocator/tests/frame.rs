//! Encoding of datagrams.

use proptest::prelude::*;
use tinbank_allocator::{
    frame::{Error, Frame, Holdings, MAX_DATAGRAM_BYTES, Meter, Queue, SlotRequest},
    lease::{Class, Footprint, Held},
    size::Size,
};
use tinbank_allowance::Limit;
use tinbank_test_support::property;

fn slot_request() -> Frame {
    Frame::SlotRequest(SlotRequest {
        lease: 7,
        class: Class::Online,
        service: "notes".to_owned(),
        exclude: ["u1".into()].into_iter().collect(),
        queue: Queue::Within(195),
        rank: 1,
        meter: Some(Meter {
            customer: "c1".to_owned(),
            limit: Limit::new(90.0, 90.0).unwrap(),
        }),
        share: None,
        size: Size::default(),
        build: Some("v1".into()),
        max_gap_ms: Some(250),
    })
}

#[test]
fn a_frame_survives_a_round_trip() {
    let bytes = slot_request().encode().unwrap();

    assert_eq!(Frame::decode(&bytes).unwrap(), slot_request());
}

#[test]
fn another_version_is_reported_as_such() {
    let mut bytes = slot_request().encode().unwrap();
    bytes[0] = 200;

    let error = Frame::decode(&bytes).unwrap_err();

    assert!(matches!(error, Error::Version { found: Some(200) }));
}

#[test]
fn the_holdings_of_a_busy_host_fit_in_a_datagram() {
    let held = (0..200u64).map(|lease| Held {
        lease: u64::MAX - lease,
        upstream: "i-7f3a91c2ff".into(),
        class: Class::Online,
        footprint: Footprint::default(),
    });
    let frame = Frame::Holdings(Holdings {
        next: u64::MAX,
        held: held.collect(),
    });

    assert!(frame.encode().unwrap().len() < MAX_DATAGRAM_BYTES);
}

proptest! {
    #![proptest_config(property::config(500))]

    #[test]
    fn decoding_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Frame::decode(&bytes);
    }
}
