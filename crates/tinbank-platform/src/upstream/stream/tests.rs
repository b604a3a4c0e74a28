use proptest::prelude::*;
use tinbank_base::platform::upstream::{Kind, Part};
use tinbank_test_support::property;
use yare::parameterized;

use super::Reader;

const REQUEST: u128 = 7;

fn chunk(id: u128, index: u32, text: Option<&str>, finish: Option<&str>) -> String {
    let content = text.map_or(String::new(), |text| format!("\"content\":\"{text}\""));
    let finish = finish.map_or("null".to_owned(), |reason| format!("\"{reason}\""));
    format!(
        "data: {{\"id\":\"{id:032x}\",\"object\":\"chat.completion.chunk\",\"token_index\":{index},\
         \"choices\":[{{\"index\":0,\"delta\":{{{content}}},\"finish_reason\":{finish}}}]}}\n\n"
    )
}

fn read(text: &str, resume_from: u32, step: usize) -> Vec<Result<Part, Kind>> {
    let mut reader = Reader::new(REQUEST, resume_from);
    for piece in text.as_bytes().chunks(step) {
        reader.feed(piece);
    }
    reader.close("closed");
    std::iter::from_fn(|| reader.pop()).collect()
}

fn token(index: u32, text: &str) -> Result<Part, Kind> {
    let text = text.to_owned();
    Ok(Part::Token { index, text })
}

#[parameterized(bytewise = {1}, in_threes = {3}, at_once = {100_000})]
fn a_whole_answer_is_read_however_it_is_cut_into_packets(step: usize) {
    let text = chunk(REQUEST, 2, Some("a"), None)
        + &chunk(REQUEST, 3, Some("b"), None)
        + &chunk(REQUEST, 4, None, Some("stop"))
        + "data: [DONE]\n\n";

    let parts = read(&text, 2, step);

    let end = Part::End {
        reason: "stop".to_owned(),
        tokens: 4,
    };
    assert_eq!(parts, [token(2, "a"), token(3, "b"), Ok(end)]);
}

#[parameterized(
    another_id = { chunk(8, 0, Some("a"), None) },
    token_twice = { chunk(REQUEST, 0, Some("a"), None) + &chunk(REQUEST, 0, Some("a"), None) },
    token_missing = { chunk(REQUEST, 1, Some("a"), None) },
    token_after_finish = { chunk(REQUEST, 0, None, Some("stop")) + &chunk(REQUEST, 0, Some("a"), None) },
)]
fn an_answer_that_is_not_ours_is_crossed(text: String) {
    let parts = read(&text, 0, 64);

    assert!(
        matches!(parts.last(), Some(Err(Kind::Crossed(_)))),
        "{parts:?}"
    );
}

#[parameterized(
    nothing = { String::new() },
    no_marker = { chunk(REQUEST, 0, None, Some("stop")) },
    marker_without_reason = { "data: [DONE]\n".to_owned() },
    half_a_marker = { chunk(REQUEST, 0, None, Some("stop")) + "data: [DON" },
    aborted = { chunk(REQUEST, 0, None, Some("abort")) + "data: [DONE]\n" },
    not_json = { "data: {\n".to_owned() },
)]
fn an_answer_without_its_end_is_cut(text: String) {
    let parts = read(&text, 0, 64);

    assert!(matches!(parts.last(), Some(Err(Kind::Cut(_)))), "{parts:?}");
}

#[test]
fn a_line_without_an_end_is_cut_and_not_kept() {
    let mut reader = Reader::new(REQUEST, 0);

    for _ in 0..40 {
        reader.feed(&[b'x'; 64 << 10]);
    }

    assert!(reader.line.len() <= super::MAX_LINE + (64 << 10));
    assert!(matches!(reader.pop(), Some(Err(Kind::Cut(_)))));
    assert_eq!(reader.pop(), None);
}

/// Found by reading: the count of tokens overflowed.
#[test]
fn more_tokens_than_can_be_counted_are_cut() {
    let text = chunk(REQUEST, u32::MAX, Some("a"), None);

    let parts = read(&text, u32::MAX, 64);

    assert!(matches!(parts[..], [Err(Kind::Cut(_))]), "{parts:?}");
}

proptest! {
    #![proptest_config(property::config(512))]

    #[test]
    fn any_bytes_end_with_one_error(bytes in prop::collection::vec(any::<u8>(), 0..400), lines: bool, step in 1_usize..50) {
        let prefix: &[u8] = if lines { b"data: " } else { b"" };
        let mut reader = Reader::new(REQUEST, 0);
        for piece in [prefix, &bytes].concat().chunks(step) {
            reader.feed(piece);
        }
        reader.close("closed");
        let parts: Vec<_> = std::iter::from_fn(|| reader.pop()).collect();

        prop_assert!(matches!(parts[..], [Err(_)]), "{:?}", parts);
    }

    /// Chunks of several answers in any order: what is given on is a run of our own tokens, and a whole end only comes
    /// after all of them.
    #[test]
    fn chunks_in_any_order_give_our_tokens_in_order_or_an_error(
        chunks in prop::collection::vec((0_u8..8, 0_u32..4, 0_u8..6), 0..8), step in 1_usize..90
    ) {
        let text: String = chunks.iter().map(|(id, index, kind)| match kind {
            0 => "data: [DONE]\n\n".to_owned(),
            1 => chunk(REQUEST, *index, None, Some("stop")),
            _ => chunk(if *id == 0 { 8 } else { REQUEST }, *index, Some("a"), None),
        }).collect();

        let parts = read(&text, 0, step);

        let (last, tokens) = parts.split_last().expect("there is an end");
        let expected: Vec<_> = (0..).take(tokens.len()).map(|index| token(index, "a")).collect();
        prop_assert_eq!(tokens, &expected[..]);
        match last {
            Ok(Part::End { tokens: count, .. }) => prop_assert_eq!(*count as usize, tokens.len()),
            Ok(part) => prop_assert!(false, "{:?} is no end", part),
            Err(_) => {}
        }
    }
}
