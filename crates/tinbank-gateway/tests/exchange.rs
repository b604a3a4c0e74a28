//! Tests what a connection to a server reads ahead.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tinbank_gateway::exchange::{self, Deadlines};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime, task,
};

const BODY_BYTES: usize = 1 << 20;
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Guards against hundreds of KB for each connection, which exhaust the memory of a small host.
#[test]
fn a_connection_reads_no_more_ahead_than_its_limit() {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            // A request that is not read to its end makes the connection break when it is closed.
            let _ = stream.read(&mut [0; 1 << 10]).await.unwrap();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&vec![0; BODY_BYTES]).await.unwrap();
        });
        let until = Instant::now() + Duration::from_secs(5);
        let deadlines = Deadlines {
            connect: until,
            response: until,
        };
        let request = Request::new(Full::<Bytes>::default());

        let sent = exchange::send_buffered(address, request, deadlines, Some(MAX_BUFFER_BYTES));
        let (response, _guard) = sent.await.unwrap();
        let mut body = response.into_body();
        let mut parts = Vec::new();
        while let Some(frame) = body.frame().await {
            parts.push(frame.unwrap().into_data().unwrap().len());
        }

        assert_eq!(parts.iter().sum::<usize>(), BODY_BYTES);
        // The connection doubles the size of a read before it compares it with the limit.
        let longest = parts.iter().max().unwrap();
        assert!(*longest <= 2 * MAX_BUFFER_BYTES, "{parts:?}");
    });
}
