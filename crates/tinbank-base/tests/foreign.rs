//! Bytes from outside: any of them give a value or an error, never a panic, and none is believed in its claimed sizes.

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
/// A number as postcard writes the largest length that fits 32 bits.
const HUGE: [u8; 5] = [0xff, 0xff, 0xff, 0xff, 0x0f];

proptest! {
    #![proptest_config(property::config(CASES))]

    #[test]
    fn any_payload_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    #[test]
    fn a_changed_record_is_read_or_refused(changes in changes(), cut: Option<Index>) {
        for payload in [work().encode(), configuration().encode(), lease().encode()] {
            decode_all(&changed(&payload, &changes, cut));
        }
    }

    #[test]
    fn any_frame_is_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(open::<Datagram>(&bytes, &[key()]).is_err());
        prop_assert!(open::<Request>(&bytes, &[key()]).is_err());
    }

    /// Who holds the key may still send nonsense: a later version, or a fault.
    #[test]
    fn a_changed_body_under_a_valid_mac_is_read_or_refused(changes in changes(), cut: Option<Index>) {
        let heartbeat = body(&seal(&datagram_heartbeat(), &key()));
        let credit = body(&seal(&datagram_credit(), &key()));
        let request = body(&seal(&peer_request(), &key()));
        for body in [heartbeat, credit, request] {
            let frame = seal(&Raw(changed(&body, &changes, cut)), &key());

            let _ = open::<Datagram>(&frame, &[key()]);
            let _ = open::<Request>(&frame, &[key()]);
            let _ = open::<Response>(&frame, &[key()]);
        }
    }

    #[test]
    fn a_changed_frame_is_refused(at: Index, by in 1..=u8::MAX) {
        let mut frame = seal(&datagram_heartbeat(), &key());
        let at = at.index(frame.len());
        frame[at] ^= by;

        prop_assert!(open::<Datagram>(&frame, &[key()]).is_err());
    }
}

#[test]
fn a_record_cut_at_any_byte_is_malformed() {
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
fn a_record_of_the_next_version_says_so_whatever_it_holds() {
    let mut payload = work().encode().to_vec();
    payload[0] = envelope::VERSION + 1;
    payload.truncate(5);

    let read = Envelope::<Work>::decode(&payload);

    assert_eq!(read, Err(RecordError::Version(envelope::VERSION + 1)));
}

#[test]
fn a_frame_of_the_next_version_says_so_before_its_key_is_looked_at() {
    let mut frame = seal(&datagram_heartbeat(), &key());
    frame[0] = datagram::VERSION + 1;

    let read = open::<Datagram>(&frame, &[]);

    assert_eq!(read, Err(FrameError::Version(datagram::VERSION + 1)));
}

/// A variant that a later build added at the end: the whole envelope is refused, its other records too.
#[test]
fn a_variant_that_is_not_known_makes_its_envelope_malformed() {
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

/// A list that claims four billion entries is read no further than its bytes go.
#[test]
fn a_claimed_length_is_not_believed() {
    let empty = Envelope::<Work> {
        records: Vec::new(),
        ..work()
    };
    let mut payload = empty.encode().to_vec();
    payload.pop();
    payload.extend_from_slice(&HUGE);

    let read = Envelope::<Work>::decode(&payload);

    assert!(matches!(read, Err(RecordError::Malformed(_))), "{read:?}");
}

/// Bytes as they are.
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

fn changed(bytes: &[u8], changes: &[(Index, u8)], cut: Option<Index>) -> Vec<u8> {
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
