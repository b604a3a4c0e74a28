use tinbank_base::platform::upstream::{Kind, Part};
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
