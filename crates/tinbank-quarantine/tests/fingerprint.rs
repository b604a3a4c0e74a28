//! Identity of requests by their content.

use tinbank_quarantine::{Content, Fingerprint, Source, fingerprint::short};
use yare::parameterized;

const CONTENT: Content<'static> = Content {
    source: Source::Caller,
    customer: Some("north"),
    method: "POST",
    host: b"one.example",
    target: "/notes/x",
    body: b"prompt",
};

fn fingerprint() -> Fingerprint {
    CONTENT.fingerprint()
}

#[test]
fn a_fingerprint_depends_on_the_content_alone_and_never_changes() {
    assert_eq!(fingerprint(), fingerprint());
    // Hosts of different versions have to agree.
    assert_eq!(short(fingerprint()), "65cd65f039272793");
}

#[parameterized(
    an_item = { Content { source: Source::Item, ..CONTENT } },
    another_customer = { Content { customer: Some("south"), ..CONTENT } },
    no_customer = { Content { customer: None, ..CONTENT } },
    an_empty_customer_name = { Content { customer: Some(""), ..CONTENT } },
    another_method = { Content { method: "GET", ..CONTENT } },
    another_host = { Content { host: b"two.example", ..CONTENT } },
    another_path = { Content { target: "/notes/y", ..CONTENT } },
    another_query = { Content { target: "/notes/x?a=1", ..CONTENT } },
    another_body = { Content { body: b"prompt.", ..CONTENT } },
    a_byte_moved = { Content { target: "/notes/xp", body: b"rompt", ..CONTENT } },
)]
fn other_content_has_another_fingerprint(other: Content<'static>) {
    assert_ne!(other.fingerprint(), fingerprint());
}

#[test]
fn no_customer_differs_from_an_empty_customer_name() {
    let no_customer = Content {
        customer: None,
        ..CONTENT
    };
    let empty_name = Content {
        customer: Some(""),
        ..CONTENT
    };

    assert_ne!(no_customer.fingerprint(), empty_name.fingerprint());
}
