//! Tests that untrusted bytes decode to a value or an error, without panics and without trust in the lengths they claim.

mod examples;

use examples::{
    configuration, datagram_credit, datagram_heartbeat, key, lease, peer_request, work,
};
use proptest::{prelude::*, sample::Index};
use tinbank_base::{
    frame::{
        Datagram,
        datagram::{self, Error as FrameError, open, seal},
        request::{Request, Response},
    },
    record::{
        Envelope, Error as RecordError, config, envelope, lease::Lease, work::Record as Work,
    },
};
use tinbank_test_support::property;

const CASES: u32 = 1_024;
/// Postcard encoding of `u32::MAX`.
const MAX_LENGTH: [u8; 5] = [0xff, 0xff, 0xff, 0xff, 0x0f];

proptest! {
    #![proptest_config(property::config(CASES))]

    #[test]
    fn decoding_random_payloads_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    #[test]
    fn decoding_modified_records_does_not_panic(changes in changes(), cut: Option<Index>) {
        for payload in [work().encode(), configuration().encode(), lease().encode()] {
            decode_all(&modified(&payload, &changes, cut));
        }
    }

    #[test]
    fn random_frames_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(open::<Datagram>(&bytes, &[key()]).is_err());
        prop_assert!(open::<Request>(&bytes, &[key()]).is_err());
    }

    /// A key holder may still send invalid bodies, by another version or a fault.
    #[test]
    fn opening_modified_bodies_with_a_valid_mac_does_not_panic(changes in changes(), cut: Option<Index>) {
        let heartbeat = body(&seal(&datagram_heartbeat(), &key()));
        let credit = body(&seal(&datagram_credit(), &key()));
        let request = body(&seal(&peer_request(), &key()));
        for body in [heartbeat, credit, request] {
            let frame = seal(&Raw(modified(&body, &changes, cut)), &key());

            let _ = open::<Datagram>(&frame, &[key()]);
            let _ = open::<Request>(&frame, &[key()]);
            let _ = open::<Response>(&frame, &[key()]);
        }
    }

    #[test]
    fn a_modified_frame_is_rejected(at: Index, by in 1..=u8::MAX) {
        let mut frame = seal(&datagram_heartbeat(), &key());
        let at = at.index(frame.len());
        frame[at] ^= by;

        prop_assert!(open::<Datagram>(&frame, &[key()]).is_err());
    }
}

#[test]
fn a_truncated_record_is_malformed() {
    let payload = work().encode();

    for end in 1..payload.len() {
        let read = Envelope::<Work>::decode(&payload[..end]);

        assert!(
            matches!(read, Err(RecordError::Malformed(_))),
            "cut at {end}"
        );
    }
}

#[test]
fn a_record_of_the_next_version_is_a_version_error_whatever_its_content() {
    let mut payload = work().encode().to_vec();
    payload[0] = envelope::VERSION + 1;
    payload.truncate(5);

    let read = Envelope::<Work>::decode(&payload);

    assert_eq!(read, Err(RecordError::Version(envelope::VERSION + 1)));
}

#[test]
fn the_version_of_a_frame_is_checked_before_its_key() {
    let mut frame = seal(&datagram_heartbeat(), &key());
    frame[0] = datagram::VERSION + 1;

    let read = open::<Datagram>(&frame, &[]);

    assert_eq!(read, Err(FrameError::Version(datagram::VERSION + 1)));
}

/// A variant added by a later build invalidates the whole envelope, including its other records.
#[test]
fn an_unknown_variant_makes_the_envelope_malformed() {
    let mut payload = Envelope::<Lease> {
        records: vec![Lease::Renew { epoch: 1 }],
        ..lease()
    }
    .encode()
    .to_vec();
    let variant = payload.len() - 2;
    payload[variant] = 3;

    let read = Envelope::<Lease>::decode(&payload);

    assert!(matches!(read, Err(RecordError::Malformed(_))), "{read:?}");
}

/// A list that claims 2^32 - 1 entries must not be read beyond its bytes.
#[test]
fn a_claimed_length_is_not_trusted() {
    let empty = Envelope::<Work> {
        records: Vec::new(),
        ..work()
    };
    let mut payload = empty.encode().to_vec();
    payload.pop();
    payload.extend_from_slice(&MAX_LENGTH);

    let read = Envelope::<Work>::decode(&payload);

    assert!(matches!(read, Err(RecordError::Malformed(_))), "{read:?}");
}

/// Bytes that serialize without a length prefix.
struct Raw(Vec<u8>);

impl serde::Serialize for Raw {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeTuple;
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in &self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

fn body(frame: &[u8]) -> Vec<u8> {
    frame[2..frame.len() - datagram::MAC_BYTES].to_vec()
}

fn decode_all(payload: &[u8]) {
    let _ = Envelope::<Work>::decode(payload);
    let _ = Envelope::<config::Record>::decode(payload);
    let _ = Envelope::<Lease>::decode(payload);
    let mut ours = vec![envelope::VERSION];
    ours.extend_from_slice(payload);
    let _ = Envelope::<Work>::decode(&ours);
    let _ = Envelope::<config::Record>::decode(&ours);
    let _ = Envelope::<Lease>::decode(&ours);
}

fn changes() -> impl Strategy<Value = Vec<(Index, u8)>> {
    prop::collection::vec(any::<(Index, u8)>(), 0..5)
}

fn modified(bytes: &[u8], changes: &[(Index, u8)], cut: Option<Index>) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (at, byte) in changes {
        let at = at.index(bytes.len());
        bytes[at] = *byte;
    }
    if let Some(end) = cut {
        bytes.truncate(end.index(bytes.len()));
    }
    bytes
}
