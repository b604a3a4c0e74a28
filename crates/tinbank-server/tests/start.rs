//! What the main function of a server does with its arguments.

use std::{fs, path::PathBuf, process::ExitCode};

use dropshot::ApiDescription;
use tinbank_server::start::{self, EXIT_FAILED};
use tinbank_settings::{
    cli::{Arguments, EXIT_SETTINGS},
    common::Common,
};

fn settings(name: &str, host: &str) -> PathBuf {
    let secret = "ab".repeat(32);
    let text = format!(
        r#"{{
          "host": {host}, "failure_domain": "logan",
          "http": "127.0.0.1:0", "peer": "127.0.0.1:0",
          "log": "127.0.0.1:7000", "hosts": "127.0.0.1:7001", "weights": "127.0.0.1:7002",
          "peer_keys": [{{ "number": 1, "secret": "{secret}" }}],
        }}"#
    );
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the target directory is writable");
    path
}

/// Runs a server that ends at once, and says whether it was started.
fn run(arguments: Arguments, result: Result<(), String>) -> (ExitCode, bool) {
    let mut served = false;
    let serve = |_: Common, _| {
        served = true;
        async { result }
    };
    let api = ApiDescription::<()>::new();
    let exit = start::run(arguments, "test", api, |common: &Common| common, serve);
    (exit, served)
}

#[yare::parameterized(
    serves = { "1", false, Ok(()), ExitCode::SUCCESS, true },
    fails = { "1", false, Err("broken".to_owned()), ExitCode::from(EXIT_FAILED), true },
    bad_settings = { "0", false, Ok(()), ExitCode::from(EXIT_SETTINGS), false },
    checks_only = { "1", true, Ok(()), ExitCode::SUCCESS, false },
    checks_bad = { "0", true, Ok(()), ExitCode::from(EXIT_SETTINGS), false },
)]
fn settings_are_checked_before_anything_starts(
    host: &str,
    check: bool,
    result: Result<(), String>,
    expected: ExitCode,
    started: bool,
) {
    let name = format!("start-{host}-{check}-{}.jsonc", result.is_ok());
    let arguments = Arguments {
        settings: Some(settings(&name, host)),
        check,
        openapi: false,
    };

    let outcome = run(arguments, result);

    assert_eq!(outcome, (expected, started));
}

#[test]
fn openapi_starts_nothing() {
    let arguments = Arguments {
        openapi: true,
        ..Arguments::default()
    };

    let outcome = run(arguments, Ok(()));

    assert_eq!(outcome, (ExitCode::SUCCESS, false));
}
