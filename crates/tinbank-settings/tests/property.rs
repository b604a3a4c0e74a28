//! No text makes the parser panic, and whatever is refused is refused with places inside the text.

use proptest::prelude::*;
use tinbank_settings::{Findings, common::Common, parse};
use tinbank_test_support::property;

/// Pieces that bring the parser deep into the schema.
const PIECES: &[&str] = &[
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"host\"",
    "\"http\"",
    "\"peer\"",
    "\"peer_keys\"",
    "\"secret\"",
    "\"127.0.0.1:80\"",
    "\"\"",
    "1",
    "-1",
    "1e999",
    "0x10",
    "null",
    "true",
    "//",
    "/*",
    "*/",
    "\n",
    "\"\\u00\"",
    "'",
    "é",
    "\u{feff}",
    "\0",
    "\"tls\"",
    "NaN",
];

fn lines(text: &str) -> usize {
    text.matches('\n').count() + 1
}

proptest! {
    #![proptest_config(property::config(2_000))]

    #[test]
    fn any_text(text in "\\PC{0,80}") {
        let _ = check(&text)?;
    }

    #[test]
    fn any_pieces(pieces in prop::collection::vec(prop::sample::select(PIECES), 0..60)) {
        let _ = check(&pieces.concat())?;
    }
}

fn check(text: &str) -> Result<bool, TestCaseError> {
    let Err(Findings(found)) = parse::<Common>(text, "any") else {
        return Ok(true);
    };
    prop_assert!(!found.is_empty());
    for finding in &found {
        prop_assert!(
            (1..=lines(text)).contains(&finding.place.line),
            "{}",
            finding
        );
        prop_assert!(finding.place.column >= 1);
        prop_assert!(!finding.help.is_empty());
    }
    Ok(false)
}

#[test]
fn deep_nesting_is_refused() {
    let text = "[".repeat(200_000);

    let accepted = check(&text).expect("no broken promise");

    assert!(!accepted);
}
