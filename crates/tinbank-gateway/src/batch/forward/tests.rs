//! Tests how answers of other hosts are read.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    runtime,
    task::{self, LocalSet},
};

use super::read;
use crate::exchange::{self, Deadlines};

/// More than a host reads of an answer and the sockets on its way hold.
const MAX_TAKEN: usize = 48 << 20;
const BURST_BYTES: usize = 64 << 10;
/// Time in which a connection on the local machine takes several times [`MAX_TAKEN`].
const READ_TIME: Duration = Duration::from_secs(2);

/// Starts a host whose answers have no end. Returns also how many bytes it has sent.
async fn start_host() -> (SocketAddr, Rc<Cell<usize>>) {
    let sent = Rc::new(Cell::new(0));
    let counted = Rc::clone(&sent);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        let burst = [b'x'; BURST_BYTES];
        while stream.write_all(&burst).await.is_ok() {
            counted.set(counted.get() + BURST_BYTES);
        }
    });
    (address, sent)
}

/// Guards against a host that runs out of memory by the answer of another one.
#[test]
fn an_answer_of_another_host_without_end_is_given_up() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let (host, sent) = start_host().await;
        let until = Instant::now() + READ_TIME;
        let deadlines = Deadlines {
            connect: until,
            response: until,
        };
        let request = Request::new(Full::new(Bytes::new()));
        let (answer, _guard) = exchange::send(host, request, deadlines).await.unwrap();

        let body = read(answer.into_body(), until).await;

        assert!(body.is_err());
        assert!(sent.get() < MAX_TAKEN, "{}", sent.get());
    });
}
