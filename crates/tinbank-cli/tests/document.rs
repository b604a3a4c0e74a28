//! The pages say what the code does. `TINBANK_WRITE_DOCS=1 cargo test -p tinbank-cli` writes the settings' table anew.

use std::{env, fs, path::Path};

use tinbank_cli::{exit::Exit, settings::Settings};
use tinbank_settings::{Schema, document, load};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

#[test]
fn the_page_lists_the_settings_of_the_command_line() {
    let path = format!("{ROOT}/docs/configuration.md");
    let page = fs::read_to_string(&path).expect("the page is there");

    let table = document::table(&Settings::fields());
    let fresh = document::splice(&page, "tool", &table).expect("the page has the part");

    if env::var_os("TINBANK_WRITE_DOCS").is_some() {
        return fs::write(&path, &fresh).expect("the page is writable");
    }
    assert_eq!(page, fresh, "run it once with TINBANK_WRITE_DOCS=1");
}

#[test]
fn the_page_explains_every_exit_code() {
    let page = fs::read_to_string(format!("{ROOT}/docs/exit-codes.md")).expect("the page is there");

    for exit in Exit::ALL {
        let row = format!("| {} | {exit} | ", exit.code());
        assert!(page.contains(&row), "{row}");
    }
}

#[test]
fn the_settings_of_the_three_hosts_have_no_findings() {
    check::<Settings>("tinbank.jsonc");
    for host in 1..=3 {
        check::<tinbank_online::Settings>(&format!("host-{host}-online.jsonc"));
        check::<tinbank_batch::Settings>(&format!("host-{host}-batch.jsonc"));
    }
}

#[track_caller]
fn check<T: Schema>(name: &str) {
    let path = format!("{ROOT}/examples/three-hosts/{name}");
    if let Err(findings) = load::<T>(Path::new(&path)) {
        panic!("{findings}");
    }
}
