//! Requests over TCP: answers, errors and replays.

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

const ASKER: u32 = 1;
const ANSWERER: u32 = 2;

/// Answers `Config{from}` by `from` frames, and counts.
struct Fake {
    asked: AtomicU32,
    told: mpsc::UnboundedSender<(Writer, Body)>,
}

/// What `Config{from}` asks the fake to do instead.
const NEVER: u64 = 1_000;
const HUGE: u64 = 1_001;
const EMPTY: u64 = 1_002;

#[async_trait]
impl Answer for Fake {
    async fn answer(&self, from: Writer, request: Request) -> BoxStream<'static, Response> {
        self.asked.fetch_add(1, Ordering::SeqCst);
        assert_eq!(from, writer(ASKER));
        let Request::Config { from } = request else {
            return stream::empty().boxed();
        };
        match from {
            NEVER => stream::pending().boxed(),
            EMPTY => stream::empty().boxed(),
            HUGE => stream::iter([Response::Failed {
                code: tinbank_base::outcome::Code::Internal,
                ran: tinbank_base::outcome::Ran::No,
                message: "x".repeat(MAX_BYTES),
            }])
            .boxed(),
            count => stream::iter((0..count as u32).map(counted)).boxed(),
        }
    }

    fn on_credit(&self, from: Writer, message: credit::Message) {
        self.told.send((from, Body::Credit(message))).unwrap();
    }

    fn on_demand(&self, from: Writer, message: demand::Message) {
        self.told.send((from, Body::Demand(message))).unwrap();
    }
}

fn counted(pending: u32) -> Response {
    Response::Counted(Count {
        pending,
        ..Count::default()
    })
}

fn fake() -> (Arc<Fake>, mpsc::UnboundedReceiver<(Writer, Body)>) {
    let (told, heard) = mpsc::unbounded_channel();
    let asked = AtomicU32::new(0);
    (Arc::new(Fake { asked, told }), heard)
}

async fn pair() -> (Endpoint, Endpoint, Arc<Fake>) {
    let (fake, _) = fake();
    let answerer = endpoint(ANSWERER, &[1]).await;
    answerer.serve(fake.clone());
    (endpoint(ASKER, &[1]).await, answerer, fake)
}

fn request(from: u64) -> Request {
    Request::Config { from }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

#[tokio::test]
async fn all_frames_of_an_answer_come_in_order_also_over_a_pooled_connection() {
    let (asker, answerer, fake) = pair().await;
    let to = answerer.address();

    for count in [3, 1, 200] {
        let answer = asker.ask(to, request(count), soon()).await.unwrap();

        let expected: Vec<_> = (0..count as u32).map(counted).collect();
        assert_eq!(answer, expected);
    }
    assert_eq!(fake.asked.load(Ordering::SeqCst), 3);
}

#[tokio::test]
async fn many_requests_at_once_each_get_their_own_answer() {
    let (asker, answerer, _) = pair().await;
    let to = answerer.address();

    let asks = (1..60).map(|count| asker.ask(to, request(count), soon()));
    let answers = futures::future::join_all(asks).await;

    for (index, answer) in answers.into_iter().enumerate() {
        assert_eq!(answer.unwrap().len(), index + 1);
    }
}

#[tokio::test]
async fn a_peer_that_is_gone_gives_a_connect_error() {
    let asker = endpoint(ASKER, &[1]).await;
    let gone = TcpListener::bind(loopback()).await.unwrap();
    let to = gone.local_addr().unwrap();
    drop(gone);

    let result = asker.ask(to, request(1), soon()).await;

    assert_eq!(result, Err(Error::Connect(to)));
}

#[tokio::test]
async fn a_peer_without_our_key_gives_a_connect_error() {
    let (_, answerer, fake) = pair().await;
    let stranger = endpoint(ASKER, &[2]).await;
    let to = answerer.address();

    let result = stranger.ask(to, request(1), soon()).await;

    assert_eq!(result, Err(Error::Connect(to)));
    assert_eq!(fake.asked.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_deadline_that_has_passed_sends_nothing() {
    let (asker, answerer, fake) = pair().await;
    let to = answerer.address();

    let result = asker.ask(to, request(1), Instant::now()).await;

    assert_eq!(result, Err(Error::Connect(to)));
    assert_eq!(fake.asked.load(Ordering::SeqCst), 0);
}

#[yare::parameterized(
    no_answer_by_the_deadline = { NEVER },
    answer_over_the_limit = { HUGE },
    answer_without_a_frame = { EMPTY },
)]
#[test_macro(tokio::test)]
async fn a_request_without_a_whole_answer_is_lost(from: u64) {
    let (asker, answerer, fake) = pair().await;
    let to = answerer.address();
    let until = Instant::now() + Duration::from_millis(500);

    let result = asker.ask(to, request(from), until).await;

    assert!(matches!(result, Err(Error::Lost { .. })), "{result:?}");
    assert_eq!(fake.asked.load(Ordering::SeqCst), 1);
    let next = asker.ask(to, request(2), soon()).await;
    assert_eq!(next.unwrap().len(), 2);
}

#[tokio::test]
async fn a_peer_that_stops_in_the_midst_of_an_answer_gives_a_lost_error() {
    let (asker, answerer, fake) = pair().await;
    let to = answerer.address();
    let pending = tokio::spawn(async move { asker.ask(to, request(NEVER), soon()).await });
    while fake.asked.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }

    answerer.close();

    let result = pending.await.unwrap();
    assert!(matches!(result, Err(Error::Lost { .. })), "{result:?}");
}

#[tokio::test]
async fn a_request_to_a_restarted_peer_does_not_fall_to_a_dead_pooled_connection() {
    let (asker, answerer, _) = pair().await;
    let to = answerer.address();
    asker.ask(to, request(1), soon()).await.unwrap();
    answerer.close();
    drop(answerer);
    while TcpStream::connect(to).await.is_ok() {
        tokio::task::yield_now().await;
    }

    let (fake, _) = fake();
    let restarted = endpoint_at(to, ANSWERER, &[1]).await;
    restarted.serve(fake);
    let answer = asker.ask(to, request(4), soon()).await;

    assert_eq!(answer.unwrap().len(), 4);
}

#[tokio::test]
async fn before_it_serves_a_peer_says_that_nothing_ran() {
    let asker = endpoint(ASKER, &[1]).await;
    let answerer = endpoint(ANSWERER, &[1]).await;

    let answer = asker.ask(answerer.address(), request(1), soon()).await;

    let [Response::Failed { ran, .. }] = answer.unwrap()[..] else {
        panic!("expected one failure");
    };
    assert_eq!(ran, tinbank_base::outcome::Ran::No);
}

/// Passes one connection on to `to` and returns what the asker sent.
async fn record(listener: TcpListener, to: SocketAddr) -> Vec<u8> {
    let (mut asker, _) = listener.accept().await.unwrap();
    let mut answerer = TcpStream::connect(to).await.unwrap();
    let (mut from_asker, mut to_asker) = asker.split();
    let (mut from_answerer, mut to_answerer) = answerer.split();
    let mut recorded = Vec::new();
    let forward = async {
        let mut buffer = [0; 4_096];
        while let Ok(size @ 1..) = from_asker.read(&mut buffer).await {
            recorded.extend_from_slice(&buffer[..size]);
            to_answerer.write_all(&buffer[..size]).await.unwrap();
        }
    };
    let back = copy(&mut from_answerer, &mut to_asker);
    tokio::select! {
        () = forward => {}
        _ = back => {}
    }
    recorded
}

#[tokio::test]
async fn a_recorded_request_is_not_answered_a_second_time() {
    let (asker, answerer, fake) = pair().await;
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let proxy = listener.local_addr().unwrap();
    let recording = tokio::spawn(record(listener, answerer.address()));
    asker.ask(proxy, request(1), soon()).await.unwrap();
    drop(asker);
    let recorded = recording.await.unwrap();

    let mut replay = TcpStream::connect(answerer.address()).await.unwrap();
    replay.write_all(&recorded).await.unwrap();
    // The answerer closes the connection once it has seen that the request belongs to another one.
    let _ = replay.read_to_end(&mut Vec::new()).await;

    assert_eq!(fake.asked.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_length_over_the_limit_closes_the_connection() {
    let (_, answerer, _) = pair().await;
    let mut tcp = TcpStream::connect(answerer.address()).await.unwrap();

    tcp.write_all(&u32::MAX.to_be_bytes()).await.unwrap();
    let read = tcp.read(&mut [0; 8]).await;

    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

fn greeting_of_the_next_version() -> Vec<u8> {
    let mut sealed = seal(&7_u128, &key(1));
    sealed[0] = VERSION + 1;
    framed(&sealed)
}

fn framed(sealed: &[u8]) -> Vec<u8> {
    let length = sealed.len() as u32;
    [&length.to_be_bytes(), sealed].concat()
}

/// What a foreign process may send, with and without the key. The connection is closed; others are served.
#[yare::parameterized(
    next_version = { greeting_of_the_next_version() },
    empty_frame = { framed(&[]) },
    no_mac = { framed(&[VERSION, 1, 0]) },
    other_key = { framed(&seal(&7_u128, &key(2))) },
    other_type = { framed(&seal(&"text", &key(1))) },
    request_before_the_greeting = { framed(&seal(&request(1), &key(1))) },
    greeting_and_then_nonsense = { [framed(&seal(&7_u128, &key(1))), vec![0; 40]].concat() },
    greeting_and_then_a_huge_length = { [framed(&seal(&7_u128, &key(1))), vec![0xff; 4]].concat() },
)]
#[test_macro(tokio::test)]
async fn foreign_bytes_close_their_connection_and_no_other(bytes: Vec<u8>) {
    let (asker, answerer, fake) = pair().await;
    let mut tcp = TcpStream::connect(answerer.address()).await.unwrap();

    tcp.write_all(&bytes).await.unwrap();
    // Ends when the answerer has closed the connection; a reset is one way to close it.
    let _ = tcp.read_to_end(&mut Vec::new()).await;

    assert_eq!(fake.asked.load(Ordering::SeqCst), 0);
    assert!(
        asker
            .ask(answerer.address(), request(1), soon())
            .await
            .is_ok()
    );
}

#[tokio::test]
async fn datagrams_about_credits_reach_the_answerer() {
    let asker = endpoint(ASKER, &[1]).await;
    let answerer = endpoint(ANSWERER, &[1]).await;
    let (fake, mut told) = fake();
    answerer.serve(fake);
    let load = Load {
        upstream: 3,
        online: 2,
    };
    let message = credit::Message::Load([load].into_iter().collect());

    asker.send_credit(answerer.address(), message.clone());

    assert_eq!(
        told.recv().await,
        Some((writer(ASKER), Body::Credit(message)))
    );
}

#[tokio::test]
async fn datagrams_about_limits_reach_the_answerer() {
    let asker = endpoint(ASKER, &[1]).await;
    let answerer = endpoint(ANSWERER, &[1]).await;
    let (fake, mut told) = fake();
    answerer.serve(fake);
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

    asker.send_demand(answerer.address(), message.clone());

    assert_eq!(
        told.recv().await,
        Some((writer(ASKER), Body::Demand(message)))
    );
}
