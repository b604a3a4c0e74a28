//! Log lines as a time line.

use std::time::{Duration, SystemTime};

use tinbank_timeline::logs::{self, Line, Malformed, Subject};
use yare::parameterized;

fn line(host: &str, text: &str) -> Line {
    Line::parse(host, text).unwrap()
}

fn about(id: &str, item: Option<&str>, around_ms: u64) -> Subject {
    Subject {
        id: id.to_owned(),
        item: item.map(str::to_owned),
        around: Duration::from_millis(around_ms),
    }
}

fn events(lines: &[Line]) -> Vec<&str> {
    lines.iter().map(|line| line.event.as_str()).collect()
}

/// Lines of two hosts: a job refused while the store is away, and a stream elsewhere.
fn day() -> Vec<Line> {
    vec![
        line(
            "a",
            r#"t=1000 level=WARN event="log of jobs lost" offset=7"#,
        ),
        line(
            "a",
            r#"t=1500 level=INFO event="job not taken in here" job=j1"#,
        ),
        line(
            "a",
            r#"t=9000 level=INFO event="log of jobs regained" offset=7"#,
        ),
        line("b", r#"t=1200 level=INFO event="group at the store left""#),
        line(
            "b",
            r#"t=1400 level=INFO event="item sent" job=j1 item=3 upstream=u1"#,
        ),
        line(
            "b",
            r#"t=1450 level=INFO event="item sent" job=j1 item=4 upstream=u2"#,
        ),
        line(
            "b",
            r#"t=1460 level=INFO event="request sent" request=r1 upstream=u1"#,
        ),
    ]
}

#[test]
fn a_line_is_taken_apart_and_its_quotes_are_undone() {
    let read = line(
        "a",
        r#"t=1786943789364 level=INFO event="job \"x\" refused" job=18 why="a\nb = c" empty="""#,
    );

    assert_eq!(read.event, "job \"x\" refused");
    assert_eq!(read.value("why"), Some("a\nb = c"));
    assert_eq!(read.value("empty"), Some(""));
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(1_786_943_789_364);
    assert_eq!(read.at, at);
}

#[parameterized(
    no_pairs = { "thread panicked at src/main.rs", Malformed::Pairs },
    open_quote = { r#"t=1 event="x"#, Malformed::Pairs },
    no_time = { "level=INFO event=x", Malformed::Time },
    wrong_time = { "t=soon event=x", Malformed::Time },
    no_event = { "t=1 level=INFO", Malformed::Event },
)]
fn other_lines_are_told_apart(text: &str, expected: Malformed) {
    assert_eq!(Line::parse("a", text), Err(expected));
}

#[test]
fn lines_of_all_hosts_stand_in_the_order_of_their_times() {
    let merged = logs::merge(day());

    assert!(merged.is_sorted_by_key(|line| line.at));
    assert_eq!(merged.len(), day().len());
}

#[test]
fn a_subject_selects_its_lines_at_all_hosts() {
    let selected = logs::select(day(), &about("j1", None, 0));
    let item = logs::select(day(), &about("j1", Some("4"), 0));
    let upstream = logs::select(day(), &about("u1", None, 0));

    assert_eq!(
        events(&selected),
        ["job not taken in here", "item sent", "item sent"]
    );
    assert_eq!(events(&item), ["item sent"]);
    assert_eq!(events(&upstream), ["item sent", "request sent"]);
}

#[test]
fn beliefs_of_the_hosts_concerned_are_shown_around_it() {
    let selected = logs::select(day(), &about("j1", None, 600));
    let of_one_host = logs::select(day(), &about("r1", None, 600));

    assert_eq!(
        events(&selected),
        [
            "log of jobs lost",
            "job not taken in here",
            "group at the store left",
            "item sent",
            "item sent"
        ]
    );
    assert_eq!(
        events(&of_one_host),
        ["group at the store left", "request sent"]
    );
}
