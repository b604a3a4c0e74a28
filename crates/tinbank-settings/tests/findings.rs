//! Findings of a settings file: all together, each with its place and what to do.

use tinbank_settings::{Finding, Findings, common::Common, load, parse};

/// A file without mistakes; each setting stands on a line of its own.
fn good() -> String {
    r#"// Entry host 3 of the test deployment.
{
  "host": 3,
  "failure_domain": "logan",
  "http": "127.0.0.3:8080",
  "peer": "127.0.0.3:9080",
  "log": "127.0.0.100:7000",
  "hosts": "127.0.0.100:7001",
  "weights": "127.0.0.100:7002",
  "peer_keys": [
    { "number": 1, "secret": "0101010101010101010101010101010101010101010101010101010101010101" },
    { "number": 2, "secret": "0202020202020202020202020202020202020202020202020202020202020202" },
  ],
  "seeds": ["127.0.0.1:9080"], /* asked first */
}
"#
    .to_owned()
}

/// The same file with one line changed.
fn with(line: &str, changed: &str) -> String {
    let text = good();
    assert!(text.contains(line), "no such line: {line}");
    text.replace(line, changed)
}

fn findings(text: &str) -> Vec<Finding> {
    let Findings(found) = parse::<Common>(text, "host.jsonc").expect_err("a mistake");
    found
}

#[test]
fn a_file_without_mistakes_is_read_with_its_defaults() {
    let settings = parse::<Common>(&good(), "host.jsonc").expect("no findings");

    assert_eq!(settings.host, 3);
    assert_eq!(settings.peer_keys.len(), 2);
    assert_eq!(settings.peer_keys[1].secret, [2; 32]);
    assert_eq!(settings.seeds.len(), 1);
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.log_level, "info");
    assert!(settings.tls.is_none());
}

#[test]
fn five_mistakes_give_five_findings_with_their_places() {
    let text = r#"{
  "host": "three",
  "failure_domian": "logan",
  "failure_domain": "logan",
  "http": "127.0.0.3:8080",
  "peer": "127.0.0.3:8080",
  "log": "localhost:7000",
  "hosts": "127.0.0.100:7001",
  "weights": "127.0.0.100:7002",
  "peer_keys": [
    { "number": 256, "secret": "0101010101010101010101010101010101010101010101010101010101010101" }
  ]
}"#;

    let found = findings(text);

    let shown: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(
        shown,
        [
            "host.jsonc:2:11: `host` is a text; give a whole number from 1 to 1000000",
            "host.jsonc:3:3: unknown key `failure_domian`; did you mean `failure_domain`?",
            "host.jsonc:6:11: `peer` uses 127.0.0.3:8080, which `http` uses on line 5; \
         give one of the two another port",
            "host.jsonc:7:10: `log` is \"localhost:7000\"; \
         give an IP address with a port, such as 10.0.0.1:7000",
            "host.jsonc:11:17: `peer_keys[0].number` is 256; give a whole number from 0 to 255",
        ]
    );
}

#[yare::parameterized(
    wrong_type = { "\"host\": 3,", "\"host\": true,", 3, 11, "true or false" },
    out_of_range = { "\"host\": 3,", "\"host\": 0,", 3, 11, "`host` is 0" },
    fraction = { "\"host\": 3,", "\"host\": 3.5,", 3, 11, "3.5" },
    huge = { "\"host\": 3,", "\"host\": 99999999999999999999999,", 3, 11, "999" },
    null = { "\"host\": 3,", "\"host\": null,", 3, 11, "null" },
    empty_text = { "\"logan\"", "\" \"", 4, 21, "failure_domain" },
    missing = { "\"host\": 3,", "", 2, 1, "`host` is missing" },
    twice = { "\"host\": 3,", "\"host\": 3, \"host\": 4,", 3, 14, "stands twice" },
    no_port = { "127.0.0.100:7001", "127.0.0.100", 8, 12, "`hosts`" },
    port_zero = { "127.0.0.100:7001", "127.0.0.100:0", 8, 12, "without a port" },
    own_address = { "127.0.0.100:7000", "127.0.0.3:8080", 7, 10, "which `http` uses" },
    any_address = { "127.0.0.3:9080", "0.0.0.0:8080", 6, 11, "which `http` uses" },
    short_secret = { "0202020202", "02", 12, 30, "characters" },
    syntax = { "\"host\": 3,", "\"host\": 3", 3, 12, "syntax error" },
    unknown_level = { "\"host\": 3,", "\"host\": 3, \"log_level\": \"all\",", 3, 27, "log_level" },
    tls_half = { "\"host\": 3,", "\"host\": 3, \"tls\": {\"key\": \"k\"},", 3, 21, "tls.certificate" },
    non_ascii = { "\"host\": 3,", "\"hÖst\": 3, \"host\": 0,", 3, 3, "did you mean `host`" },
)]
fn each_mistake_is_found_at_its_place(
    line: &str,
    changed: &str,
    at_line: usize,
    at_column: usize,
    says: &str,
) {
    let text = with(line, changed);

    let found = findings(&text);

    let first = &found[0];
    assert_eq!(
        (first.place.line, first.place.column),
        (at_line, at_column),
        "{first}"
    );
    assert!(
        first.what.contains(says) || first.help.contains(says),
        "{first}"
    );
    assert!(!first.help.is_empty());
}

#[test]
fn a_syntax_error_does_not_hide_the_other_findings() {
    let text = with("\"host\": 3,", "\"host\": 0");

    let found = findings(&text);

    assert_eq!(found.len(), 2);
    assert!(found[0].what.contains("`host` is 0"), "{}", found[0]);
    assert!(found[1].what.contains("syntax error"), "{}", found[1]);
}

#[test]
fn settings_that_clash_are_found_at_their_place() {
    let text = with("\"number\": 2", "\"number\": 1");

    let found = findings(&text);

    assert_eq!(found.len(), 1);
    assert_eq!((found[0].place.line, found[0].place.column), (12, 17));
    assert!(found[0].what.contains("number 1"), "{}", found[0]);
}

#[test]
fn a_file_that_the_settings_name_is_opened() {
    let tls = r#""tls": { "certificate": "/nonexistent/c", "key": "/nonexistent/k" }, "host": 3,"#;
    let path = temporary("tls.jsonc", &with("\"host\": 3,", tls));

    let refused = load::<Common>(&path);

    let Findings(found) = refused.expect_err("there are no such files");
    assert_eq!(found.len(), 2);
    assert!(found[0].what.contains("/nonexistent/c"), "{}", found[0]);
    assert!(found[1].what.contains("/nonexistent/k"), "{}", found[1]);
}

fn temporary(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the target directory is writable");
    path
}

#[test]
fn a_secret_is_never_shown() {
    let text = with("0202020202", "hunter2");

    let shown = findings(&text)[0].to_string();

    assert!(!shown.contains("hunter2"), "{shown}");
}

#[test]
fn a_file_that_is_not_there_is_a_finding() {
    let refused = load::<Common>("/nonexistent/host.jsonc".as_ref());

    let Findings(found) = refused.expect_err("there is no such file");
    assert_eq!(found.len(), 1);
    assert!(found[0].what.contains("can't be read"), "{}", found[0]);
}
