//! `docs/configuration.md` lists the settings of every process. `TINBANK_WRITE_DOCS=1 cargo test -p tinbank-demo` writes it anew.

use std::{env, fs};

use tinbank_settings::{Schema, common::Common, document};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.md");

/// The page with the parts of all processes written anew.
fn fresh(page: &str) -> String {
    let parts = [
        ("online", own::<tinbank_online::Settings>()),
        ("batch", own::<tinbank_batch::Settings>()),
        ("fleet", own::<tinbank_fleet::Settings>()),
        (
            "standin",
            document::table(&tinbank_standin::Settings::fields()),
        ),
    ];
    parts.iter().fold(page.to_owned(), |page, (name, table)| {
        document::splice(&page, name, table).unwrap_or_else(|| panic!("the page has no {name}"))
    })
}

/// The settings that a process of an entry host has besides the common ones.
fn own<T: Schema>() -> String {
    document::table(&document::own(T::fields(), &Common::fields()))
}

#[test]
fn the_page_lists_the_settings_of_every_process() {
    let page = fs::read_to_string(PAGE).expect("the page is there");

    let fresh = fresh(&page);

    if env::var_os("TINBANK_WRITE_DOCS").is_some() {
        return fs::write(PAGE, &fresh).expect("the page is writable");
    }
    assert_eq!(page, fresh, "run it once with TINBANK_WRITE_DOCS=1");
}
