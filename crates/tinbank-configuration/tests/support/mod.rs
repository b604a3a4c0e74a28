//! Fixtures shared by the tests of this crate.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use tinbank_base::{
    clock::Stamp,
    digest, id,
    platform::log::{Entry, Stream},
    record::{
        Envelope, Writer,
        config::{Object, Put, Record},
    },
};
use tinbank_test_support::log::Memory;

pub const TEMPLATE: &str = r#"{
  "services": {
    "notes": { "kind": "engine", "pool": "gpu", "artifact": { "model": "m", "version": "1", "adapter": null } },
    "dispatch": { "kind": "plain", "pool": "plain", "repeatable": false }
  },
  "streams": {
    "trace": { "service": "notes", "traffic": "online" },
    "sweep": { "service": "notes", "traffic": "batch" }
  }
}"#;

/// A template without the service `dispatch`.
pub const SMALLER_TEMPLATE: &str = r#"{
  "services": {
    "notes": { "kind": "engine", "pool": "gpu", "artifact": { "model": "m", "version": "2", "adapter": null } }
  }
}"#;

pub fn template(name: &str) -> Object {
    Object::Template(name.to_owned())
}

pub fn customer(name: &str) -> Object {
    Object::Customer(name.to_owned())
}

pub fn customer_body(template: &str, key: &str, share: u32) -> String {
    let digest = digest::of(key.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!(r#"{{ "template": "{template}", "key_sha256": ["{hex}"], "share": {share} }}"#)
}

/// A customer with a stream that uses the template's service `dispatch`.
pub fn dispatching_body(template: &str) -> String {
    format!(
        r#"{{
  "template": "{template}",
  "key_sha256": [],
  "streams": {{ "crews": {{ "service": "dispatch", "traffic": "online" }} }}
}}"#
    )
}

pub fn put(change: u128, object: Object, base: Option<id::Revision>, body: Option<&str>) -> Put {
    Put {
        change,
        object,
        base,
        body: body.map(str::to_owned),
        author: format!("operator {change}"),
    }
}

pub fn writer(host: id::Host) -> Writer {
    Writer {
        process: id::Process {
            host,
            role: id::Role::Tool,
        },
        incarnation: 1,
    }
}

pub fn envelope(host: id::Host, sequence: u64, records: Vec<Record>) -> Envelope<Record> {
    Envelope {
        writer: writer(host),
        sequence,
        stamp: Stamp {
            micros: sequence.saturating_mul(1_000_000),
            counter: 0,
        },
        records,
    }
}

pub fn push(log: &Memory, host: id::Host, sequence: u64, records: Vec<Record>) -> id::Offset {
    let payload = envelope(host, sequence, records).encode();
    log.push(Stream::Config, payload)
}

pub fn push_put(log: &Memory, sequence: u64, put: Put) -> id::Offset {
    push(log, 1, sequence, vec![Record::Put(put)])
}

pub fn entries(log: &Memory) -> Vec<Entry> {
    log.entries(Stream::Config)
}
