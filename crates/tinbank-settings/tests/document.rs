//! `docs/configuration.md` says what the code reads. `TINBANK_WRITE_DOCS=1 cargo test -p tinbank-settings` writes it anew.

use std::{env, fs, path::Path};

use tinbank_settings::{Schema as _, common::Common, document};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.md");

#[test]
fn the_page_lists_the_common_settings() {
    let page = fs::read_to_string(Path::new(PAGE)).expect("the page is there");

    let table = document::table(&Common::fields());
    let fresh = document::splice(&page, "common", &table).expect("the page has the part");

    if env::var_os("TINBANK_WRITE_DOCS").is_some() {
        return fs::write(PAGE, &fresh).expect("the page is writable");
    }
    assert_eq!(page, fresh, "run it once with TINBANK_WRITE_DOCS=1");
}
