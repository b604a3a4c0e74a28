//! The bytes of today's version, committed: an encoding that changes by accident would be read as garbage by the
//! other hosts during a rollout. See `docs/design/versions.md` for what may change and how.

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
fn todays_version_is_written_as_ever(name: &str, bytes: &[u8]) {
    assert_eq!(
        hex(bytes),
        golden(name),
        "{name}: see docs/design/versions.md"
    );
}

#[test]
fn todays_version_is_read_as_ever() {
    reads("work", &work());
    reads("config", &configuration());
    reads("lease", &lease());
    opens("heartbeat", &datagram_heartbeat());
    opens("credit", &datagram_credit());
    opens("request", &peer_request());
    opens("response", &peer_response());
}

fn reads<R: DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, expected: &Envelope<R>) {
    let read = Envelope::<R>::decode(&bytes(golden(name)));

    assert_eq!(read.as_ref(), Ok(expected), "{name}");
}

fn opens<T>(name: &str, expected: &T)
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
