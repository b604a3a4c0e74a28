//! Answers of the platform that are not what was agreed: an error, never a panic or a wait without end.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_base::platform::{
    hosts::Hosts as _,
    log::{Error, Log as _, Stream},
    weights::{Artifact, Weights as _},
};
use tinbank_platform::{hosts, log, weights};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// A service that gives every request the same bytes and closes.
async fn service(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let _ = tcp.read(&mut [0; 4_096]).await;
            let _ = tcp.write_all(&answer).await;
        }
    });
    address
}

fn http(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

/// A page's first byte is a count; this one claims four billion entries.
const HUGE: &[u8] = &[0xff, 0xff, 0xff, 0xff, 0x0f];

#[yare::parameterized(
    nothing = { Vec::new() },
    no_http = { b"\0\xff\r\n\r\n".to_vec() },
    empty_body = { http("200 OK", "", b"") },
    huge_count = { http("200 OK", "", HUGE) },
    cut_short = { b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n\0".to_vec() },
    gone_without_a_place = { http("410 Gone", "", b"{}") },
    other_status = { http("302 Found", "location: /\r\n", b"") },
    endless_wait = { http("429 Too Many Requests", "retry-after: 18446744073709551615\r\n", b"") },
    endless_wait_in_ms = { http("503 Service Unavailable", "retry-after-ms: 18446744073709551615\r\n", b"") },
)]
#[test_macro(tokio::test)]
async fn a_bad_answer_is_an_error(answer: Vec<u8>) {
    let address = service(answer).await;
    let log = log::Http::new(address);

    let read = log.read(Stream::Config, 0, 1_000, soon()).await;
    let bounds = log.bounds(Stream::Config).await;
    let append = log.append(Stream::Config, "x".into()).await;
    let list = hosts::Http::new(address).list().await;
    let artifact = Artifact {
        model: "m".into(),
        version: "1".into(),
        adapter: None,
    };
    let ticket = weights::Http::new(address).ticket(&artifact).await;

    assert!(read.is_err(), "{read:?}");
    assert!(bounds.is_err(), "{bounds:?}");
    assert!(append.is_err(), "{append:?}");
    assert!(list.is_err(), "{list:?}");
    assert!(ticket.is_err(), "{ticket:?}");
}

/// Found by reading: adding the longest wait to the clock overflowed, and the process with it.
#[tokio::test]
async fn a_wait_that_no_clock_can_hold_is_cut_to_the_longest() {
    let answer = http(
        "429 Too Many Requests",
        "retry-after: 18446744073709551615\r\n",
        b"",
    );
    let log = log::Http::new(service(answer).await);

    let append = log.append(Stream::Config, "x".into()).await;

    assert!(matches!(append, Err(Error::Throttled { .. })), "{append:?}");
}
