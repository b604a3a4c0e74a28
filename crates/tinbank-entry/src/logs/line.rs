//! Format of a log line.

use std::{fmt::Write, time::SystemTime};

use logforth::{
    Error,
    kv::{KeyView, ValueView, Visitor},
    record::Record,
};

/// Formats a record: Unix time in milliseconds, level, event, then the key-value pairs of the record.
pub fn format(record: &Record<'_>) -> String {
    let since_epoch = record.time().duration_since(SystemTime::UNIX_EPOCH);
    let time = since_epoch.map_or(0, |it| it.as_millis());
    let mut line = String::with_capacity(160);
    line.push_str("t=");
    line.push_str(&time.to_string());
    line.push_str(" level=");
    line.push_str(record.level().name());
    push_pair(&mut line, "event", record.payload().to_string());
    let mut pairs = Pairs(line);
    // `Pairs` never fails.
    if record.key_values().visit(&mut pairs).is_err() {
        push_pair(&mut pairs.0, "incomplete", "true".to_owned());
    }
    pairs.0.push('\n');
    pairs.0
}

struct Pairs(String);

impl Visitor for Pairs {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        push_pair(&mut self.0, &key.to_string(), value.to_string());
        Ok(())
    }
}

/// Appends a pair. A value with whitespace, quotes, `=` or control characters is quoted and escaped, so that a record stays on
/// one line.
fn push_pair(line: &mut String, key: &str, value: String) {
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
