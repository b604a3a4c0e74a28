//! The settings file of the stand-ins.

use std::path::Path;

use tinbank_settings::{load, parse};
use tinbank_standin::{Settings, engine, hosts, log, plain, weights};

#[test]
fn an_empty_file_gives_the_defaults() {
    let settings = parse::<Settings>("{}", "empty.jsonc");

    assert_eq!(settings.expect("nothing is required"), Settings::default());
}

#[test]
fn services_without_keys_of_their_own_have_the_same_defaults_as_in_process() {
    let text = r#"{
        "log": {}, "hosts": {}, "weights": {},
        "engines": [{ "upstream": 0 }], "plain": [{ "upstream": 0 }], // no more is required
    }"#;

    let settings = parse::<Settings>(text, "short.jsonc").expect("it is complete");

    let expected = Settings {
        log: Some(log::Settings::default()),
        hosts: Some(hosts::Settings::default()),
        weights: Some(weights::Settings::default()),
        engines: vec![engine::Settings::default()],
        plain: vec![plain::Settings::default()],
        ..Settings::default()
    };
    assert_eq!(settings, expected);
}

#[test]
fn all_mistakes_are_found_in_one_run() {
    let text = r#"{
        "log": { "adress": "127.0.0.1:7100" },
        "hosts": { "lag_ms": -1 },
        "weights": { "address": "127.0.0.1:7103" },
        "engines": [{ "slots": 4 }, { "upstream": 1, "address": "127.0.0.1:7103" }],
        "plain": 3,
    }"#;

    let findings = parse::<Settings>(text, "bad.jsonc").expect_err("it is wrong");

    let places: Vec<_> = findings
        .0
        .iter()
        .map(|finding| finding.place.line)
        .collect();
    assert_eq!(places, [2, 3, 5, 5, 6], "{findings}");
}

#[test]
fn the_example_is_accepted() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/standin.jsonc");

    let settings = load::<Settings>(&path).unwrap_or_else(|findings| panic!("{findings}"));

    assert_eq!((settings.engines.len(), settings.plain.len()), (3, 1));
}
