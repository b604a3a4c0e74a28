//! What callers say in headers, and how mistakes in it are refused.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{HeaderMap, HeaderName, HeaderValue};
use tinbank_base::outcome::{Code, Ran};
use tinbank_server::{
    caller::{
        IDEMPOTENCY_KEY, REPEATABLE, STREAM, TIMEOUT_MS, bearer, deadline, idempotency_key,
        parse_request_id, repeatable, request_id, stream,
    },
    failure::retry_after,
};

fn headers(given: &[(&str, &[u8])]) -> HeaderMap {
    let pairs = given.iter().map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a header name");
        (
            name,
            HeaderValue::from_bytes(value).expect("a header value"),
        )
    });
    pairs.collect()
}

#[yare::parameterized(
    plain = { b"Bearer secret", "secret" },
    any_case = { b"bearer secret", "secret" },
    spaces = { b"Bearer   secret ", "secret" },
)]
fn a_key_is_read(value: &[u8], key: &str) {
    let headers = headers(&[("authorization", value)]);

    let read = bearer(&headers);

    assert_eq!(read, Ok(key));
}

#[yare::parameterized(
    missing = { &[] },
    other_scheme = { &[("authorization", b"Basic secret")] },
    empty = { &[("authorization", b"Bearer ")] },
    no_key = { &[("authorization", b"Bearer")] },
    not_text = { &[("authorization", b"Bearer \xff")] },
    twice = { &[("authorization", b"Bearer a"), ("authorization", b"Bearer b")] },
)]
fn without_a_key_nothing_runs(given: &[(&str, &[u8])]) {
    let headers = headers(given);

    let refused = bearer(&headers).expect_err("no key");

    assert_eq!((refused.code, refused.ran), (Code::Unauthorized, Ran::No));
    assert!(refused.help.is_some());
}

#[yare::parameterized(
    absent = { &[], Some(None) },
    yes = { &[(REPEATABLE, b"true")], Some(Some(true)) },
    no = { &[(REPEATABLE, b"false")], Some(Some(false)) },
    mistyped = { &[(REPEATABLE, b"flase")], None },
    empty = { &[(REPEATABLE, b"")], None },
    contradicting = { &[(REPEATABLE, b"true"), (REPEATABLE, b"false")], None },
)]
fn only_a_clear_word_lifts_the_promise(given: &[(&str, &[u8])], expected: Option<Option<bool>>) {
    let headers = headers(given);

    let read = repeatable(&headers).ok();

    assert_eq!(read, expected);
}

#[yare::parameterized(
    absent = { &[], Some(None) },
    second = { &[(TIMEOUT_MS, b"1000")], Some(Some(1_000)) },
    day = { &[(TIMEOUT_MS, b"86400000")], Some(Some(86_400_000)) },
    zero = { &[(TIMEOUT_MS, b"0")], None },
    over = { &[(TIMEOUT_MS, b"86400001")], None },
    negative = { &[(TIMEOUT_MS, b"-1")], None },
    text = { &[(TIMEOUT_MS, b"1s")], None },
    huge = { &[(TIMEOUT_MS, b"99999999999999999999999")], None },
)]
fn a_timeout_becomes_a_deadline(given: &[(&str, &[u8])], expected: Option<Option<u64>>) {
    let now = Instant::now();
    let headers = headers(given);

    let read = deadline(&headers, now).ok();

    let expected = expected.map(|millis| millis.map(|millis| now + Duration::from_millis(millis)));
    assert_eq!(read, expected);
}

#[test]
fn an_idempotency_key_has_a_length() {
    let long = "k".repeat(256);

    let fits = idempotency_key(&headers(&[(IDEMPOTENCY_KEY, &long.as_bytes()[1..])])).is_ok();
    let too_long = idempotency_key(&headers(&[(IDEMPOTENCY_KEY, long.as_bytes())])).is_err();
    let empty = idempotency_key(&headers(&[(IDEMPOTENCY_KEY, b"")])).is_err();
    let none = headers(&[]);
    let absent = idempotency_key(&none);

    assert!(fits && too_long && empty);
    assert_eq!(absent, Ok(None));
}

#[test]
fn a_stream_has_a_name() {
    assert_eq!(stream(&headers(&[(STREAM, b"alarms")])), Ok(Some("alarms")));
    assert!(stream(&headers(&[(STREAM, b"")])).is_err());
}

#[test]
fn a_request_id_is_read_with_and_without_hyphens() {
    let plain = parse_request_id("000000000000000000000000000000ab");
    let hyphens = parse_request_id("00000000-0000-0000-0000-0000000000ab");
    let foreign = request_id(&headers(&[("x-request-id", b"my request")]));

    assert_eq!((plain, hyphens), (Some(0xab), Some(0xab)));
    assert_eq!(foreign, None);
}

#[yare::parameterized(
    past = { 10_000, 12_000, 1 },
    now = { 10_000, 10_000, 1 },
    part = { 10_001, 10_000, 1 },
    whole = { 12_000, 10_000, 2 },
    rounded_up = { 12_001, 10_000, 3 },
)]
fn nobody_is_asked_back_too_early(at: u64, now: u64, seconds: u64) {
    let time = |millis| -> SystemTime { UNIX_EPOCH + Duration::from_millis(millis) };

    assert_eq!(retry_after(time(at), time(now)), seconds);
}
