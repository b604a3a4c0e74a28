//! The form of a line.

use std::{fmt::Write, time::SystemTime};

use logforth::{
    Error,
    kv::{KeyView, ValueView, Visitor},
    record::Record,
};

/// The line of a record: time in milliseconds since 1970, level, event, then the pairs of the event.
pub fn format(record: &Record<'_>) -> String {
    let since_1970 = record.time().duration_since(SystemTime::UNIX_EPOCH);
    let time = since_1970.map_or(0, |it| it.as_millis());
    let mut line = String::with_capacity(160);
    line.push_str("t=");
    line.push_str(&time.to_string());
    line.push_str(" level=");
    line.push_str(record.level().name());
    pair(&mut line, "event", record.payload().to_string());
    let mut pairs = Pairs(line);
    // The visitor below never fails.
    if record.key_values().visit(&mut pairs).is_err() {
        pair(&mut pairs.0, "incomplete", "true".to_owned());
    }
    pairs.0.push('\n');
    pairs.0
}

struct Pairs(String);

impl Visitor for Pairs {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        pair(&mut self.0, &key.to_string(), value.to_string());
        Ok(())
    }
}

/// Adds a pair. A value with blanks, quotes or control characters is quoted and escaped, so that an event is one line.
fn pair(line: &mut String, key: &str, value: String) {
    line.push(' ');
    line.push_str(key);
    line.push('=');
    let plain = |it: char| !it.is_whitespace() && !it.is_control() && it != '"' && it != '=';
    if !value.is_empty() && value.chars().all(plain) {
        line.push_str(&value);
        return;
    }
    // Writing to a string can't fail.
    let _ = write!(line, "{value:?}");
}
