//! Requests over TCP: responses, errors and replays.

mod fixture;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use fixture::{endpoint, endpoint_at, key, loopback, writer};
use futures::{StreamExt, stream, stream::BoxStream};
use tinbank_base::{
    frame::{
        Body,
        credit::{self, Load},
        datagram::{VERSION, seal},
        demand::{self, Claim, ClaimRequest},
        request::{Count, MAX_BYTES, Request, Response},
    },
    peer::{Answer, Error, Peers},
    record::Writer,
};
use tinbank_peer::Endpoint;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

const CLIENT: u32 = 1;
const SERVER: u32 = 2;

/// Responds to `Config { from }` with `from` frames, and counts the requests.
struct TestHandler {
    requests: AtomicU32,
    messages: mpsc::UnboundedSender<(Writer, Body)>,
}

/// Values of `from` with a special response: none at all, one over the size limit, and one without frames.
const NO_RESPONSE: u64 = 1_000;
const TOO_LARGE: u64 = 1_001;
const NO_FRAMES: u64 = 1_002;

#[async_trait]
impl Answer for TestHandler {
    async fn answer(&self, from: Writer, request: Request) -> BoxStream<'static, Response> {
        self.requests.fetch_add(1, Ordering::SeqCst);
        assert_eq!(from, writer(CLIENT));
        let Request::Config { from } = request else {
            return stream::empty().boxed();
        };
        match from {
            NO_RESPONSE => stream::pending().boxed(),
            NO_FRAMES => stream::empty().boxed(),
            TOO_LARGE => stream::iter([Response::Failed {
                code: tinbank_base::outcome::Code::Internal,
                ran: tinbank_base::outcome::Ran::No,
                message: "x".repeat(MAX_BYTES),
            }])
            .boxed(),
            count => stream::iter((0..count as u32).map(counted)).boxed(),
        }
    }

    fn on_credit(&self, from: Writer, message: credit::Message) {
        self.messages.send((from, Body::Credit(message))).unwrap();
    }

    fn on_demand(&self, from: Writer, message: demand::Message) {
        self.messages.send((from, Body::Demand(message))).unwrap();
    }
}

fn counted(pending: u32) -> Response {
    Response::Counted(Count {
        pending,
        ..Count::default()
    })
}

fn test_handler() -> (Arc<TestHandler>, mpsc::UnboundedReceiver<(Writer, Body)>) {
    let (messages, received) = mpsc::unbounded_channel();
    let requests = AtomicU32::new(0);
    (Arc::new(TestHandler { requests, messages }), received)
}

async fn pair() -> (Endpoint, Endpoint, Arc<TestHandler>) {
    let (handler, _) = test_handler();
    let server = endpoint(SERVER, &[1]).await;
    server.serve(handler.clone());
    (endpoint(CLIENT, &[1]).await, server, handler)
}

fn request(from: u64) -> Request {
    Request::Config { from }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

#[tokio::test]
async fn frames_of_a_response_arrive_in_order_also_over_a_pooled_connection() {
    let (client, server, handler) = pair().await;
    let to = server.address();

    for count in [3, 1, 200] {
        let answer = client.ask(to, request(count), soon()).await.unwrap();

        let expected: Vec<_> = (0..count as u32).map(counted).collect();
        assert_eq!(answer, expected);
    }
    assert_eq!(handler.requests.load(Ordering::SeqCst), 3);
}

#[tokio::test]
async fn concurrent_requests_each_get_their_own_response() {
    let (client, server, _) = pair().await;
    let to = server.address();

    let asks = (1..60).map(|count| client.ask(to, request(count), soon()));
    let answers = futures::future::join_all(asks).await;

    for (index, answer) in answers.into_iter().enumerate() {
        assert_eq!(answer.unwrap().len(), index + 1);
    }
}

#[tokio::test]
async fn a_closed_port_gives_a_connect_error() {
    let client = endpoint(CLIENT, &[1]).await;
    let gone = TcpListener::bind(loopback()).await.unwrap();
    let to = gone.local_addr().unwrap();
    drop(gone);

    let result = client.ask(to, request(1), soon()).await;

    assert_eq!(result, Err(Error::Connect(to)));
}

#[tokio::test]
async fn a_peer_with_another_key_gives_a_connect_error() {
    let (_, server, handler) = pair().await;
    let stranger = endpoint(CLIENT, &[2]).await;
    let to = server.address();

    let result = stranger.ask(to, request(1), soon()).await;

    assert_eq!(result, Err(Error::Connect(to)));
    assert_eq!(handler.requests.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_request_after_its_deadline_is_not_sent() {
    let (client, server, handler) = pair().await;
    let to = server.address();

    let result = client.ask(to, request(1), Instant::now()).await;

    assert_eq!(result, Err(Error::Connect(to)));
    assert_eq!(handler.requests.load(Ordering::SeqCst), 0);
}

#[yare::parameterized(
    no_response_by_the_deadline = { NO_RESPONSE },
    response_over_the_limit = { TOO_LARGE },
    response_without_a_frame = { NO_FRAMES },
)]
#[test_macro(tokio::test)]
async fn a_request_without_a_complete_response_gives_a_lost_error(from: u64) {
    let (client, server, handler) = pair().await;
    let to = server.address();
    let until = Instant::now() + Duration::from_millis(500);

    let result = client.ask(to, request(from), until).await;

    assert!(matches!(result, Err(Error::Lost { .. })), "{result:?}");
    assert_eq!(handler.requests.load(Ordering::SeqCst), 1);
    let next = client.ask(to, request(2), soon()).await;
    assert_eq!(next.unwrap().len(), 2);
}

#[tokio::test]
async fn a_peer_that_stops_during_a_response_gives_a_lost_error() {
    let (client, server, handler) = pair().await;
    let to = server.address();
    let pending = tokio::spawn(async move { client.ask(to, request(NO_RESPONSE), soon()).await });
    while handler.requests.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }

    server.close();

    let result = pending.await.unwrap();
    assert!(matches!(result, Err(Error::Lost { .. })), "{result:?}");
}

#[tokio::test]
async fn a_request_to_a_restarted_peer_does_not_fail_on_a_closed_pooled_connection() {
    let (client, server, _) = pair().await;
    let to = server.address();
    client.ask(to, request(1), soon()).await.unwrap();
    server.close();
    drop(server);
    while TcpStream::connect(to).await.is_ok() {
        tokio::task::yield_now().await;
    }

    let (handler, _) = test_handler();
    let restarted = endpoint_at(to, SERVER, &[1]).await;
    restarted.serve(handler);
    let answer = client.ask(to, request(4), soon()).await;

    assert_eq!(answer.unwrap().len(), 4);
}

#[tokio::test]
async fn a_peer_without_a_handler_responds_that_the_request_did_not_run() {
    let client = endpoint(CLIENT, &[1]).await;
    let server = endpoint(SERVER, &[1]).await;

    let answer = client.ask(server.address(), request(1), soon()).await;

    let [Response::Failed { ran, .. }] = answer.unwrap()[..] else {
        panic!("expected one failure");
    };
    assert_eq!(ran, tinbank_base::outcome::Ran::No);
}

/// Proxies one connection to `to` and returns the bytes that the client sent.
async fn proxy_and_record(listener: TcpListener, to: SocketAddr) -> Vec<u8> {
    let (mut client, _) = listener.accept().await.unwrap();
    let mut server = TcpStream::connect(to).await.unwrap();
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.split();
    let mut recorded = Vec::new();
    let forward = async {
        let mut buffer = [0; 4_096];
        while let Ok(size @ 1..) = from_client.read(&mut buffer).await {
            recorded.extend_from_slice(&buffer[..size]);
            to_server.write_all(&buffer[..size]).await.unwrap();
        }
    };
    let back = copy(&mut from_server, &mut to_client);
    tokio::select! {
        () = forward => {}
        _ = back => {}
    }
    recorded
}

#[tokio::test]
async fn a_replayed_connection_does_not_run_its_request_again() {
    let (client, server, handler) = pair().await;
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let proxy = listener.local_addr().unwrap();
    let recording = tokio::spawn(proxy_and_record(listener, server.address()));
    client.ask(proxy, request(1), soon()).await.unwrap();
    drop(client);
    let recorded = recording.await.unwrap();

    let mut replay = TcpStream::connect(server.address()).await.unwrap();
    replay.write_all(&recorded).await.unwrap();
    // Returns once the server has rejected the request and closed the connection.
    let _ = replay.read_to_end(&mut Vec::new()).await;

    assert_eq!(handler.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_length_prefix_over_the_limit_closes_the_connection() {
    let (_, server, _) = pair().await;
    let mut tcp = TcpStream::connect(server.address()).await.unwrap();

    tcp.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    let read = tcp.read(&mut [0; 8]).await;

    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

fn handshake_of_the_next_version() -> Vec<u8> {
    let mut sealed = seal(&7_u128, &key(1));
    sealed[0] = VERSION + 1;
    framed(&sealed)
}

fn framed(sealed: &[u8]) -> Vec<u8> {
    let length = sealed.len() as u32;
    [&length.to_be_bytes(), sealed].concat()
}

/// Bytes of an incompatible or malicious process, with and without the key.
#[yare::parameterized(
    next_version = { handshake_of_the_next_version() },
    empty_frame = { framed(&[]) },
    no_mac = { framed(&[VERSION, 1, 0]) },
    other_key = { framed(&seal(&7_u128, &key(2))) },
    other_type = { framed(&seal(&"text", &key(1))) },
    request_before_the_handshake = { framed(&seal(&request(1), &key(1))) },
    handshake_then_garbage = { [framed(&seal(&7_u128, &key(1))), vec![0; 40]].concat() },
    handshake_then_a_huge_length = { [framed(&seal(&7_u128, &key(1))), vec![0xff; 4]].concat() },
)]
#[test_macro(tokio::test)]
async fn invalid_bytes_close_only_their_own_connection(bytes: Vec<u8>) {
    let (client, server, handler) = pair().await;
    let mut tcp = TcpStream::connect(server.address()).await.unwrap();

    tcp.write_all(&bytes).await.unwrap();
    // Returns once the server has closed the connection, possibly with a reset.
    let _ = tcp.read_to_end(&mut Vec::new()).await;

    assert_eq!(handler.requests.load(Ordering::SeqCst), 0);
    assert!(
        client
            .ask(server.address(), request(1), soon())
            .await
            .is_ok()
    );
}

#[tokio::test]
async fn credit_datagrams_reach_the_handler() {
    let client = endpoint(CLIENT, &[1]).await;
    let server = endpoint(SERVER, &[1]).await;
    let (handler, mut messages) = test_handler();
    server.serve(handler);
    let load = Load {
        upstream: 3,
        online: 2,
    };
    let message = credit::Message::Load([load].into_iter().collect());

    client.send_credit(server.address(), message.clone());

    assert_eq!(
        messages.recv().await,
        Some((writer(CLIENT), Body::Credit(message)))
    );
}

#[tokio::test]
async fn demand_datagrams_reach_the_handler() {
    let client = endpoint(CLIENT, &[1]).await;
    let server = endpoint(SERVER, &[1]).await;
    let (handler, mut messages) = test_handler();
    server.serve(handler);
    let claim = Claim {
        limit: u64::MAX - 3,
        limit_value: 100,
        demand_millis: 12_500,
        held_millis: 0,
    };
    let ask = ClaimRequest {
        round: 7,
        claims: [claim].into_iter().collect(),
    };
    let message = demand::Message::ClaimRequest(ask);

    client.send_demand(server.address(), message.clone());

    assert_eq!(
        messages.recv().await,
        Some((writer(CLIENT), Body::Demand(message)))
    );
}
