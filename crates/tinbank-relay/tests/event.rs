//! Tests the parsing of events from the chunks of a stream.

use proptest::prelude::*;
use tinbank_relay::event::{MAX_BYTES, Splitter};
use tinbank_test_support::property;
use yare::parameterized;

fn events(chunks: &[&[u8]]) -> Vec<(Option<u64>, Option<String>)> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).unwrap();
        while let Some(event) = splitter.next_event() {
            events.push((event.id, event.data()));
        }
    }
    events
}

#[parameterized(
    plain = { b"id: 1\ndata: a\n\n", Some(1), Some("a") },
    no_space_after_colon = { b"id:1\ndata:a\n\n", Some(1), Some("a") },
    crlf = { b"id: 1\r\ndata: a\r\n\r\n", Some(1), Some("a") },
    several_data_lines = { b"id: 4\ndata: a\ndata: b\n\n", Some(4), Some("a\nb") },
    no_id = { b"data: a\n\n", None, Some("a") },
    no_data = { b"id: 2\n\n", Some(2), None },
    other_fields = { b"weights: 3\nid: 9\ndata: x\n\n", Some(9), Some("x") },
)]
fn an_event_is_parsed_into_id_and_data(bytes: &[u8], id: Option<u64>, data: Option<&str>) {
    assert_eq!(events(&[bytes]), [(id, data.map(str::to_owned))]);
}

#[test]
fn an_incomplete_event_is_not_returned() {
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
fn an_event_above_the_size_limit_is_rejected() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; MAX_BYTES]).unwrap();

    assert!(splitter.push(b"x").is_err());
}

proptest! {
    #![proptest_config(property::config(300))]

    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        texts in prop::collection::vec("[a-z.]{0,12}", 1..12),
        cuts in prop::collection::vec(1..9usize, 1..60),
    ) {
        let numbered = (1..).zip(&texts);
        let whole: String = numbered
            .map(|(id, text)| format!("id: {id}\ndata: {text}\n\n"))
            .collect();
        let mut rest = whole.as_bytes();
        let mut chunks = Vec::new();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, left) = rest.split_at((*cut).min(rest.len()));
            chunks.push(chunk);
            rest = left;
        }

        prop_assert_eq!(events(&chunks), events(&[whole.as_bytes()]));
    }
}
