//! Tests the encodings against committed bytes. An accidental change would be misread by other hosts during a rollout.
//! See `docs/design/versions.md` for what may change and how.

mod examples;

use examples::{
    configuration, datagram_credit, datagram_heartbeat, key, lease, peer_request, peer_response,
    work,
};
use serde::{Serialize, de::DeserializeOwned};
use tinbank_base::{
    frame::datagram::{open, seal},
    record::Envelope,
};

const GOLDEN: &str = include_str!("golden.txt");

#[yare::parameterized(
    work_shard = { "work", &work().encode() },
    config = { "config", &configuration().encode() },
    fleet = { "lease", &lease().encode() },
    heartbeat = { "heartbeat", &seal(&datagram_heartbeat(), &key()) },
    credit = { "credit", &seal(&datagram_credit(), &key()) },
    request = { "request", &seal(&peer_request(), &key()) },
    response = { "response", &seal(&peer_response(), &key()) },
)]
fn the_current_version_encodes_to_the_committed_bytes(name: &str, bytes: &[u8]) {
    assert_eq!(
        hex(bytes),
        golden(name),
        "{name}: see docs/design/versions.md"
    );
}

#[test]
fn the_committed_bytes_decode_to_the_original_values() {
    assert_decodes("work", &work());
    assert_decodes("config", &configuration());
    assert_decodes("lease", &lease());
    assert_opens("heartbeat", &datagram_heartbeat());
    assert_opens("credit", &datagram_credit());
    assert_opens("request", &peer_request());
    assert_opens("response", &peer_response());
}

fn assert_decodes<R: DeserializeOwned + PartialEq + std::fmt::Debug>(
    name: &str,
    expected: &Envelope<R>,
) {
    let read = Envelope::<R>::decode(&bytes(golden(name)));

    assert_eq!(read.as_ref(), Ok(expected), "{name}");
}

fn assert_opens<T>(name: &str, expected: &T)
where
    T: DeserializeOwned + Serialize + PartialEq + std::fmt::Debug,
{
    let read = open::<T>(&bytes(golden(name)), &[key()]);

    assert_eq!(read.as_ref(), Ok(expected), "{name}");
}

fn golden(name: &str) -> &'static str {
    GOLDEN
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))
        .unwrap_or_default()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits"))
        .collect()
}
