//! Parsing of job bodies split at any point, validation errors with their line, and splitting into chunks.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tinbank_base::record::work::{Chunk, Item};
use tinbank_batch::intake::{Finding, Limits, cut, finding::Kind, line::Parser};

fn limits() -> Limits {
    Limits {
        line_bytes: 200,
        custom_id_bytes: 8,
        items: 3,
        body_bytes: 1_000,
    }
}

fn read(text: &str) -> Result<Vec<Item>, Finding> {
    let mut parser = Parser::new(limits(), true);
    let mut items = Vec::new();
    parser.push(text.as_bytes(), &mut items)?;
    parser.finish(&mut items)?;
    Ok(items)
}

fn item(index: usize, size: usize) -> Item {
    Item {
        custom_id: format!("item-{index}"),
        body: vec![b'x'; size].into(),
        repeatable: true,
    }
}

fn cut_all(items: Vec<Item>) -> Vec<Chunk> {
    let mut cutter = cut::Cutter::new(7, 1);
    let mut chunks: Vec<Chunk> = items
        .into_iter()
        .filter_map(|item| cutter.push(item))
        .collect();
    chunks.extend(cutter.finish());
    chunks
}

#[test]
fn lines_become_items() {
    let text = "{\"custom_id\":\"a\",\"body\":{\"x\": 1}}\n\n{\"repeatable\":false,\"custom_id\":\"b\",\"body\":{}}";

    let items = read(text).unwrap();

    assert_eq!(items.len(), 2);
    assert_eq!(
        (items[0].custom_id.as_str(), &items[0].body[..]),
        ("a", &b"{\"x\": 1}"[..])
    );
    assert!(items[0].repeatable);
    assert!(!items[1].repeatable);
}

#[yare::parameterized(
    broken = { "{\"custom_id\":\"a\",\"body\":{}}\n{\"custom_id\":", 2, "EOF while parsing a value (column 13)" },
    unknown = { "{\"custom_id\":\"a\",\"body\":{},\"prio\":1}", 1, "unknown field `prio`, expected one of `custom_id`, `body`, `repeatable` (column 33)" },
    missing = { "{\"custom_id\":\"a\"}", 1, "missing field `body` (column 17)" },
    not_utf8_escape = { "{\"custom_id\":\"\\ud800\",\"body\":{}}", 1, "unexpected end of hex escape (column 21)" },
)]
fn malformed_lines_are_reported_with_their_position(text: &str, line: u64, message: &str) {
    let finding = read(text).unwrap_err();

    let kind = Kind::Malformed(message.to_owned());
    assert_eq!(finding, Finding { line, kind });
}

#[yare::parameterized(
    duplicate = { "{\"custom_id\":\"a\",\"body\":{}}\n{\"custom_id\":\"a\",\"body\":{}}", 2, Kind::Duplicate("a".into()) },
    text_body = { "{\"custom_id\":\"a\",\"body\":\"x\"}", 1, Kind::Body },
    empty_id = { "\n{\"custom_id\":\"\",\"body\":{}}", 2, Kind::EmptyId },
    long_id = { "{\"custom_id\":\"123456789\",\"body\":{}}", 1, Kind::LongId { size: 9, limit: 8 } },
    empty = { "\n  \n", 1, Kind::Empty },
    many = { "{\"custom_id\":\"a\",\"body\":{}}\n{\"custom_id\":\"b\",\"body\":{}}\n{\"custom_id\":\"c\",\"body\":{}}\n{\"custom_id\":\"d\",\"body\":{}}", 4, Kind::Items { limit: 3 } },
)]
fn findings_name_their_line(text: &str, line: u64, kind: Kind) {
    assert_eq!(read(text).unwrap_err(), Finding { line, kind });
}

#[test]
fn an_overlong_line_is_rejected_before_its_end() {
    let mut parser = Parser::new(limits(), true);
    let mut items = Vec::new();
    parser.push(&[b' '; 150], &mut items).unwrap();

    let finding = parser.push(&[b' '; 51], &mut items).unwrap_err();

    assert_eq!(finding.kind, Kind::LongLine { limit: 200 });
}

#[test]
fn a_body_over_the_size_limit_is_rejected() {
    let text = format!("{}\n", " ".repeat(150)).repeat(7);

    assert_eq!(read(&text).unwrap_err().kind, Kind::Bytes { limit: 1_000 });
}

#[yare::parameterized(
    few = { 3, 10, &[3] },
    by_count = { 600, 10, &[256, 256, 88] },
    by_size = { 5, 100 << 10, &[2, 2, 1] },
)]
fn chunks_are_bounded(count: usize, size: usize, expected: &[usize]) {
    let items = (0..count).map(|index| item(index, size)).collect();

    let chunks = cut_all(items);

    let lengths: Vec<usize> = chunks.iter().map(|chunk| chunk.items.len()).collect();
    assert_eq!(lengths, expected);
    let mut first = 0;
    for (index, chunk) in chunks.iter().enumerate() {
        assert_eq!((chunk.chunk as usize, chunk.first as usize), (index, first));
        first += chunk.items.len();
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_result_does_not_depend_on_how_the_body_is_split(
        lines in prop::collection::vec("(\\{\"custom_id\":\"[a-c]{1,2}\",\"body\":\\{\\}\\}|[ {}x]{0,5})", 0..6),
        cuts in prop::collection::vec(1_usize..40, 1..20),
    ) {
        let text = lines.join("\n");
        let mut parser = Parser::new(limits(), true);
        let mut items = Vec::new();
        let mut rest = text.as_bytes();
        let mut sizes = cuts.iter().cycle();
        let mut result = Ok(());
        while !rest.is_empty() && result.is_ok() {
            let size = rest.len().min(*sizes.next().unwrap());
            let (part, after) = rest.split_at(size);
            result = parser.push(part, &mut items);
            rest = after;
        }
        let result = result.and_then(|()| parser.finish(&mut items)).map(|_| items);

        prop_assert_eq!(result, read(&text));
    }
}
