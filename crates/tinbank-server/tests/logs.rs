//! One line an event, whatever is logged.

use logforth::{Layout as _, record::Record};
use tinbank_server::logs::{Line, level};

fn format(message: &str) -> String {
    let payload = format_args!("{message}");
    let bytes = Line::default().format(&Record::builder().payload(payload).build(), &[]);
    String::from_utf8(bytes.expect("a line")).expect("UTF-8")
}

#[yare::parameterized(
    plain = { "ready", "message=ready" },
    spaces = { "not ready", "message=\"not ready\"" },
    break_only = { "a\nforged=1", "message=\"a\\nforged=1\"" },
    break_without_space = { "a\nb", "message=a\\nb" },
    return_and_escape = { "a\r\u{1b}b", "message=a\\r\\u{1b}b" },
)]
fn a_message_stays_on_its_line(message: &str, expected: &str) {
    let line = format(message);

    assert!(line.ends_with(expected), "{line}");
    assert!(!line.contains(['\n', '\r']), "{line:?}");
}

#[test]
fn times_are_in_utc() {
    let line = format("ready");

    let time = line.split(' ').next().expect("a timestamp");
    assert!(time.ends_with("+00:00") || time.ends_with('Z'), "{time}");
}

#[test]
fn a_level_is_read_by_name() {
    assert_eq!(level("debug"), log::LevelFilter::Debug);
    assert_eq!(level("no such level"), log::LevelFilter::Info);
}
