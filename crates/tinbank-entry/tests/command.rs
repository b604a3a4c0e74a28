//! Tests of the command line, which run the program.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use yare::parameterized;

const EXAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/entry/host-1.jsonc"
);

fn run_entry(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tinbank-entry"))
        .args(arguments)
        .output()
        .unwrap()
}

fn check_settings(path: &Path) -> Output {
    run_entry(&["--settings", path.to_str().unwrap(), "--check"])
}

/// Writes a copy of the example settings with one text replaced.
fn modified_example(name: &str, from: &str, to: &str) -> PathBuf {
    let text = fs::read_to_string(EXAMPLE).unwrap();
    assert!(text.contains(from));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.jsonc"));
    fs::write(&path, text.replace(from, to)).unwrap();
    path
}

#[test]
fn help_lists_every_argument() {
    let help = String::from_utf8(run_entry(&["--help"]).stdout).unwrap();

    for argument in ["--settings", "--check"] {
        assert!(help.contains(argument), "{help}");
    }
}

#[test]
fn the_example_settings_are_valid() {
    let output = check_settings(Path::new(EXAMPLE));

    assert_eq!(output.status.code(), Some(0));
    assert!(
        String::from_utf8(output.stdout)
            .unwrap()
            .contains("settings are valid")
    );
}

#[parameterized(
    unknown = { "unknown", "\"grace_s\": 8", "\"grace_s\": 8, \"grase_s\": 9", "grase_s" },
    missing = { "missing", "\"host\": \"host-1\",", "", "host" },
    unknown_decision = { "unknown-decision", "\"grace_s\": 8", "\"grace_s\": 8, \"scheduling\": {\"fare_shares\": true}", "scheduling.fare_shares" },
    unknown_placement = { "unknown-placement", "\"grace_s\": 8", "\"grace_s\": 8, \"scheduling\": {\"placement\": \"random\"}", "scheduling.placement" },
    no_buffer = { "no-buffer", "\"grace_s\": 8", "\"grace_s\": 8, \"scheduling\": {\"buffer_kb\": 0}", "scheduling.buffer_kb" },
    no_address = { "no-address", "127.0.0.11:8161", "nowhere", "listen.callers" },
    negative = { "negative", "\"balancer_s\": 3.2", "\"balancer_s\": -1", "balancer_s" },
    no_json = { "no-json", "\"store\": {", "\"store\": [", "" },
)]
fn invalid_settings_are_reported_with_their_position(
    name: &str,
    from: &str,
    to: &str,
    place: &str,
) {
    let output = check_settings(&modified_example(name, from, to));

    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(error.contains(place), "{error}");
    assert!(error.contains("help:"), "{error}");
}

#[test]
fn a_missing_settings_file_counts_as_invalid_settings() {
    let output = check_settings(Path::new("/nowhere.jsonc"));

    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn an_address_in_use_fails_the_start_with_a_log_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let path = modified_example("taken", "127.0.0.11:8161", &address);

    let output = run_entry(&["--settings", path.to_str().unwrap()]);

    let lines = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        lines.contains("level=ERROR event=\"not started\""),
        "{lines}"
    );
    assert!(lines.contains(&address), "{lines}");
}
