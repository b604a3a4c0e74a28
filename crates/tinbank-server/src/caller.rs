//! What callers say in headers.

use std::time::{Duration, Instant};

use http::{HeaderMap, header};
use tinbank_base::{
    id,
    outcome::{Code, Failure},
};

/// Header by which a caller makes a resend recognizable.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header by which a caller says whether the request may run more than once.
pub const REPEATABLE: &str = "tinbank-repeatable";
/// Header with the caller's patience in milliseconds.
pub const TIMEOUT_MS: &str = "tinbank-timeout-ms";
/// Header that names the customer's online or batch stream.
pub const STREAM: &str = "tinbank-stream";
/// Header with the request id.
pub const REQUEST_ID: &str = "x-request-id";
/// Longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY: usize = 255;
/// Longest timeout that a caller may ask for.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// The key in `Authorization: Bearer KEY`.
///
/// # Errors
/// `Unauthorized` when there is none or it can't be read.
pub fn bearer(headers: &HeaderMap) -> Result<&str, Failure> {
    let value = text(headers, header::AUTHORIZATION.as_str())
        .map_err(|_| unauthorized("the header `Authorization` can't be read"))?
        .ok_or_else(|| unauthorized("the header `Authorization` is missing"))?;
    let (scheme, key) = value.split_once(' ').unwrap_or((value, ""));
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(unauthorized(
            "the header `Authorization` holds no bearer key",
        ));
    }
    Ok(key)
}

/// The idempotency key, if one is given.
///
/// # Errors
/// `BadRequest` for an empty, overlong or unreadable key.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    let Some(key) = text(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY {
        let help = format!("give a key of 1 to {MAX_IDEMPOTENCY_KEY} characters");
        return Err(bad("Idempotency-Key", "is empty or too long").help(help));
    }
    Ok(Some(key))
}

/// Whether the request may run more than once; `None` leaves it to the service.
///
/// # Errors
/// `BadRequest` for anything but `true` and `false`: a typing mistake must not lift the promise.
pub fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, Failure> {
    match text(headers, REPEATABLE)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => {
            let failure = bad("Tinbank-Repeatable", "is neither `true` nor `false`");
            Err(failure.help("send `false` for work that must run at most once"))
        }
    }
}

/// The deadline that follows from the caller's timeout, if one is given.
///
/// # Errors
/// `BadRequest` for anything but a whole number of milliseconds from 1 to [`MAX_TIMEOUT`].
pub fn deadline(headers: &HeaderMap, now: Instant) -> Result<Option<Instant>, Failure> {
    let Some(value) = text(headers, TIMEOUT_MS)? else {
        return Ok(None);
    };
    let max = MAX_TIMEOUT.as_millis() as u64;
    let millis = value.parse::<u64>().ok();
    let allowed = millis.filter(|millis| (1..=max).contains(millis));
    let Some(millis) = allowed else {
        let help = format!("give whole milliseconds from 1 to {max}");
        return Err(bad("Tinbank-Timeout-Ms", "is no timeout").help(help));
    };
    Ok(Some(now + Duration::from_millis(millis)))
}

/// The name of the customer's stream, if one is given.
///
/// # Errors
/// `BadRequest` for an empty or unreadable name.
pub fn stream(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    match text(headers, STREAM)? {
        Some("") => Err(bad("Tinbank-Stream", "is empty")),
        stream => Ok(stream),
    }
}

/// The request id that the sender gave, if it is one of ours: 32 hexadecimal digits, with or without hyphens.
pub fn request_id(headers: &HeaderMap) -> Option<id::Request> {
    let value = headers.get(REQUEST_ID)?;
    parse_request_id(value.to_str().ok()?)
}

/// Reads a request id as it stands in `X-Request-Id` of our answers and in dropshot's `RequestContext::request_id`.
pub fn parse_request_id(text: &str) -> Option<id::Request> {
    id::parse_wide(&text.replace('-', ""))
}

fn text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, Failure> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(name, "stands twice"));
    }
    let text = value
        .to_str()
        .map_err(|_| bad(name, "holds characters other than printable ASCII"))?;
    Ok(Some(text.trim()))
}

fn bad(header: &str, what: &str) -> Failure {
    Failure::not_run(Code::BadRequest, format!("the header `{header}` {what}"))
}

fn unauthorized(message: &str) -> Failure {
    Failure::not_run(Code::Unauthorized, message).help("send `Authorization: Bearer KEY`")
}
