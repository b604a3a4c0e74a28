//! Times as people write them.

use std::time::{Duration, SystemTime};

use jiff::{SignedDuration, Timestamp, Unit};

/// A time in the past: RFC 3339, or how long ago, such as `10m` or `1h 30m`.
///
/// # Errors
/// What is wrong with the text; argh shows it.
pub(crate) fn past(text: &str) -> Result<SystemTime, String> {
    match parse(text)? {
        When::At(time) => Ok(time),
        When::Span(span) => Ok(SystemTime::now()
            .checked_sub(span)
            .unwrap_or(SystemTime::UNIX_EPOCH)),
    }
}

/// A time to come, as RFC 3339 text: given so, or as how long from now.
///
/// # Errors
/// What is wrong with the text; argh shows it.
pub(crate) fn future(text: &str) -> Result<Timestamp, String> {
    let time = match parse(text)? {
        When::At(time) => time,
        When::Span(span) => SystemTime::now()
            .checked_add(span)
            .ok_or_else(|| format!("`{text}` is too far away"))?,
    };
    let time = Timestamp::try_from(time).map_err(|error| error.to_string())?;
    // Whole seconds are easier to repeat.
    time.round(Unit::Second).map_err(|error| error.to_string())
}

/// A time span, such as `30s`.
///
/// # Errors
/// What is wrong with the text; argh shows it.
pub(crate) fn span(text: &str) -> Result<Duration, String> {
    match parse(text)? {
        When::Span(span) => Ok(span),
        When::At(_) => Err(wrong(text)),
    }
}

enum When {
    At(SystemTime),
    Span(Duration),
}

fn parse(text: &str) -> Result<When, String> {
    if let Ok(time) = text.parse::<Timestamp>() {
        return Ok(When::At(time.into()));
    }
    let span: SignedDuration = text.parse().map_err(|_| wrong(text))?;
    let span = Duration::try_from(span).map_err(|_| wrong(text))?;
    Ok(When::Span(span))
}

fn wrong(text: &str) -> String {
    format!(
        "`{text}` is no time: give a time span such as 10m, or RFC 3339 such as 2026-12-02T03:00:00Z"
    )
}
