//! Intake of a job's lines: time a line and a byte, and bytes of memory an item while the body comes in.

use tinbank_base::record::work::{Item, Record};
use tinbank_batch::intake::{Limits, cut::Cutter, line::Parser};
use tinbank_log::encode;

use super::{Allocated, Point, Series, micros, point, processor_time, weight};

const LINES: [usize; 4] = [2_560, 5_120, 10_240, 20_480];
const BODY_BYTES: [usize; 4] = [200, 400, 800, 1_600];
/// Body of an item in the series over lines.
pub(super) const BODY: usize = 400;
const MANY: [usize; 4] = [100_000, 200_000, 400_000, 810_000];
/// Parts in which the body comes from the network.
const PART: usize = 16 << 10;

pub(super) fn line() -> Series {
    let points = LINES
        .iter()
        .map(|lines| point(*lines, time(*lines, BODY)))
        .collect();
    Series::new(
        "intake line",
        "line with a body of 400 bytes: parse, cut and encode",
        "µs",
        points,
    )
}

pub(super) fn byte() -> Series {
    const LINES_HERE: usize = 5_120;
    let points = BODY_BYTES
        .iter()
        .map(|bytes| point(*bytes, time(LINES_HERE, *bytes) / LINES_HERE as f64))
        .collect();
    Series::new("intake byte", "byte of a line's body", "µs a line", points)
}

/// What the parser keeps: digests of the names that were seen.
pub(super) fn bytes(allocated: Allocated) -> Series {
    let points: Vec<Point> = MANY
        .iter()
        .map(|items| {
            let bytes = weight(allocated, || {
                let mut parser = Parser::new(Limits::default(), true);
                for number in 0..*items {
                    let mut parsed = Vec::new();
                    let read = parser.push(&text(number, 2), &mut parsed);
                    assert!(read.is_ok(), "the lines are well formed");
                }
                parser
            });
            point(*items, bytes)
        })
        .collect();
    Series::new(
        "intake bytes",
        "item of a job while it is taken in",
        "bytes",
        points,
    )
}

fn time(lines: usize, bytes: usize) -> f64 {
    let body: Vec<u8> = (0..lines).flat_map(|line| text(line, bytes)).collect();
    micros(processor_time(|| (), |()| take_in(&body)))
}

fn take_in(body: &[u8]) {
    let mut parser = Parser::new(Limits::default(), true);
    let mut cutter = Cutter::new(42, 1);
    for part in body.chunks(PART) {
        let mut items: Vec<Item> = Vec::new();
        let read = parser.push(part, &mut items);
        assert!(read.is_ok(), "the lines are well formed");
        for chunk in items.into_iter().filter_map(|item| cutter.push(item)) {
            std::hint::black_box(encode::records(&[Record::Chunk(chunk)]));
        }
    }
}

fn text(line: usize, bytes: usize) -> Vec<u8> {
    let filler = "x".repeat(bytes.saturating_sub(10));
    format!("{{\"custom_id\":\"logger-{line:07}\",\"body\":{{\"text\":\"{filler}\"}}}}\n")
        .into_bytes()
}
