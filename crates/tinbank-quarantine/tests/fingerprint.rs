//! Which requests are the same one.

use tinbank_quarantine::{Content, Fingerprint, fingerprint::short};
use yare::parameterized;

const CONTENT: Content<'static> = Content {
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
fn the_same_content_has_the_same_fingerprint_at_every_host() {
    assert_eq!(fingerprint(), fingerprint());
    // Hosts of two versions have to agree as well.
    assert_eq!(short(fingerprint()), "65cd65f039272793");
}

#[parameterized(
    another_customer = { Content { customer: Some("south"), ..CONTENT } },
    nobody = { Content { customer: None, ..CONTENT } },
    a_customer_without_a_name = { Content { customer: Some(""), ..CONTENT } },
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
fn nobody_differs_from_a_customer_without_a_name() {
    let nobody = Content {
        customer: None,
        ..CONTENT
    };
    let nameless = Content {
        customer: Some(""),
        ..CONTENT
    };

    assert_ne!(nobody.fingerprint(), nameless.fingerprint());
}
