//! Words for the parts of an event, shared by the text and the page.

use jiff::Timestamp;
use serde_json::Value;
use tinbank_base::{
    clock::Stamp,
    event::{Event, Kind},
};

/// Fields that are shown in columns of their own.
const COLUMNS: [&str; 3] = ["stamp", "process", "event"];

/// The time of a stamp in UTC with microseconds, and the counter where it orders stamps of equal time.
pub(super) fn time(stamp: Stamp) -> String {
    let time = match Timestamp::try_from(stamp.time()) {
        Ok(time) => format!("{time:.6}"),
        Err(_) => format!("{}us", stamp.micros),
    };
    match stamp.counter {
        0 => time,
        counter => format!("{time}+{counter}"),
    }
}

/// The event's name, as in its JSON form.
pub(super) fn name(kind: &Kind) -> String {
    match serde_json::to_value(kind) {
        Ok(Value::Object(fields)) => fields.get("event").map_or_else(String::new, plain),
        _ => String::new(),
    }
}

/// Everything else about the event as `key=value`.
pub(super) fn details(event: &Event) -> Vec<String> {
    let mut details: Vec<String> = match serde_json::to_value(event) {
        Ok(Value::Object(fields)) => fields
            .iter()
            .filter(|(key, _)| !COLUMNS.contains(&key.as_str()) && *key != "peer")
            .map(|(key, value)| format!("{key}={}", quoted(value)))
            .collect(),
        _ => Vec::new(),
    };
    if let Some(peer) = event.subject.peer {
        details.push(format!("peer={peer}"));
    }
    details
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Control characters from outside must not reach a terminal, nor a space break a field in two.
fn quoted(value: &Value) -> String {
    match value {
        Value::String(text) if text.chars().any(|c| c.is_whitespace() || c.is_control()) => {
            format!("{text:?}")
        }
        other => plain(other),
    }
}
