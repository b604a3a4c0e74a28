//! The arguments that server binaries share.

use argh::FromArgs as _;
use tinbank_settings::{
    cli::{Arguments, Error, Request},
    common::Common,
};

fn arguments(given: &[&str]) -> Arguments {
    Arguments::from_args(&["tinbank-test"], given).expect("well-formed arguments")
}

#[test]
fn openapi_needs_no_settings() {
    let request = arguments(&["--openapi"]).resolve::<Common>();

    assert!(matches!(request, Ok(Request::OpenApi)));
}

#[test]
fn serving_needs_settings() {
    let request = arguments(&[]).resolve::<Common>();

    assert!(matches!(request, Err(Error::Missing)));
}

#[test]
fn check_reports_what_serving_would() {
    let checked = arguments(&["--check", "/nonexistent"]).resolve::<Common>();
    let served = arguments(&["/nonexistent"]).resolve::<Common>();

    let checked = checked.expect_err("no such file").to_string();
    let served = served.expect_err("no such file").to_string();
    assert_eq!(checked, served);
}
