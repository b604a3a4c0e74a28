//! Events from pieces of a stream.

use proptest::prelude::*;
use tinbank_relay::event::{MAX_BYTES, Splitter};
use tinbank_test_support::property;
use yare::parameterized;

fn events(pieces: &[&[u8]]) -> Vec<(Option<u64>, Option<String>)> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece).unwrap();
        while let Some(event) = splitter.next_event() {
            events.push((event.id, event.data()));
        }
    }
    events
}

#[parameterized(
    plain = { b"id: 1\ndata: a\n\n", Some(1), Some("a") },
    no_blank = { b"id:1\ndata:a\n\n", Some(1), Some("a") },
    carriage_returns = { b"id: 1\r\ndata: a\r\n\r\n", Some(1), Some("a") },
    several_lines = { b"id: 4\ndata: a\ndata: b\n\n", Some(4), Some("a\nb") },
    no_id = { b"data: a\n\n", None, Some("a") },
    no_data = { b"id: 2\n\n", Some(2), None },
    other_fields = { b"weights: 3\nid: 9\ndata: x\n\n", Some(9), Some("x") },
)]
fn an_event_has_its_id_and_data(bytes: &[u8], id: Option<u64>, data: Option<&str>) {
    assert_eq!(events(&[bytes]), [(id, data.map(str::to_owned))]);
}

#[test]
fn an_event_without_its_end_is_never_given_out() {
    let mut splitter = Splitter::default();
    splitter
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
        .unwrap();

    let first = splitter.next_event();
    let second = splitter.next_event();

    assert!(first.is_some());
    assert!(second.is_none());
    assert!(splitter.is_partial());
}

#[test]
fn an_event_that_never_ends_is_refused() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; MAX_BYTES]).unwrap();

    assert!(splitter.push(b"x").is_err());
}

proptest! {
    #![proptest_config(property::config(300))]

    /// However a stream is cut into pieces, its events are the same.
    #[test]
    fn pieces_do_not_matter(
        texts in prop::collection::vec("[a-z.]{0,12}", 1..12),
        cuts in prop::collection::vec(1..9usize, 1..60),
    ) {
        let numbered = (1..).zip(&texts);
        let whole: String = numbered
            .map(|(id, text)| format!("id: {id}\ndata: {text}\n\n"))
            .collect();
        let mut rest = whole.as_bytes();
        let mut pieces = Vec::new();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            pieces.push(piece);
            rest = left;
        }

        prop_assert_eq!(events(&pieces), events(&[whole.as_bytes()]));
    }
}
