//! Client side: pooled connections, each with one request at a time.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tinbank_base::{
    frame::request::{Request, Response},
    peer,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout_at};

use super::frame::{
    self, HANDSHAKE_TIMEOUT, Hello, MAX_FRAME, MAX_HANDSHAKE_FRAME, Nonce, Position, RequestFrame,
    ResponseFrame, Welcome,
};
use crate::endpoint::Identity;

/// Limit of idle connections for each peer.
const MAX_IDLE_PER_PEER: usize = 4;
/// Limit of peers with idle connections.
const MAX_IDLE_PEERS: usize = 256;
/// Time after which an idle connection is closed. Shorter than the server's, so that the client closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest response in bytes over all its frames, so that a peer can't exhaust the memory of this process.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Pool of idle connections by peer address.
pub(crate) struct Pool {
    identity: Arc<Identity>,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    until: Instant,
}

struct Connection {
    tcp: TcpStream,
    client_nonce: Nonce,
    server_nonce: Nonce,
    exchange: u64,
}

/// Failure of a request, by whether the peer may have received it.
enum Failure {
    /// The peer did not receive the whole request, so it did not run it.
    NotSent(frame::Error),
    /// The peer may have run the request.
    Sent(frame::Error),
}

impl Pool {
    pub(crate) fn new(identity: Arc<Identity>) -> Self {
        Self {
            identity,
            idle: Mutex::default(),
        }
    }

    /// Sends a request over an idle connection, or over a new one if there is none left that accepts the request.
    pub(crate) async fn ask(
        &self,
        to: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<Vec<Response>, peer::Error> {
        while let Some(connection) = self.take_idle(to) {
            match self.send_request(connection, to, &request, until).await {
                Err(Failure::NotSent(frame::Error::Io(_))) => {}
                result => return count_failure(to, result),
            }
        }
        let connection = match self.connect(to, until).await {
            Ok(connection) => connection,
            Err(error) => return count_failure(to, Err(Failure::NotSent(error))),
        };
        let result = self.send_request(connection, to, &request, until).await;
        count_failure(to, result)
    }

    async fn send_request(
        &self,
        mut connection: Connection,
        to: SocketAddr,
        request: &Request,
        until: Instant,
    ) -> Result<Vec<Response>, Failure> {
        connection.exchange += 1;
        let frame = self.encode(&connection, request, until)?;
        connection.send(&frame, until).await?;
        let responses = self
            .receive(&mut connection, until)
            .await
            .map_err(Failure::Sent)?;
        self.put_idle(to, connection);
        Ok(responses)
    }

    fn encode(
        &self,
        connection: &Connection,
        request: &Request,
        until: Instant,
    ) -> Result<Vec<u8>, Failure> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Failure::NotSent(frame::Error::Deadline));
        }
        let request_frame = RequestFrame {
            position: connection.position(0),
            sender: self.identity.writer,
            stamp: self.identity.clock.stamp(),
            timeout_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            request: request.clone(),
        };
        frame::encode(&request_frame, self.identity.key()).map_err(Failure::NotSent)
    }

    async fn receive(
        &self,
        connection: &mut Connection,
        until: Instant,
    ) -> Result<Vec<Response>, frame::Error> {
        let mut responses = Vec::new();
        let mut remaining = MAX_RESPONSE_BYTES;
        loop {
            let limit = remaining.min(MAX_FRAME);
            let read =
                frame::read::<ResponseFrame>(&mut connection.tcp, &self.identity.keys, limit);
            let (frame, size) = timeout_at(until.into(), read)
                .await
                .map_err(|_| frame::Error::Deadline)??;
            let index = responses.len() as u32 + 1;
            if frame.position != connection.position(index) {
                return Err(frame::Error::UnexpectedPosition);
            }
            self.identity.clock.observe(frame.stamp);
            remaining -= size;
            responses.push(frame.response);
            if frame.last {
                return Ok(responses);
            }
        }
    }

    async fn connect(&self, to: SocketAddr, until: Instant) -> Result<Connection, frame::Error> {
        let handshake_until = until.min(Instant::now() + HANDSHAKE_TIMEOUT);
        timeout_at(handshake_until.into(), self.handshake(to))
            .await
            .map_err(|_| frame::Error::Deadline)?
    }

    async fn handshake(&self, to: SocketAddr) -> Result<Connection, frame::Error> {
        let mut tcp = TcpStream::connect(to).await?;
        tcp.set_nodelay(true)?;
        let client_nonce = rand::random::<Nonce>();
        let hello = Hello {
            nonce: client_nonce,
        };
        frame::write(&mut tcp, &hello, self.identity.key()).await?;
        let (welcome, _) =
            frame::read::<Welcome>(&mut tcp, &self.identity.keys, MAX_HANDSHAKE_FRAME).await?;
        if welcome.client_nonce != client_nonce {
            return Err(frame::Error::UnexpectedPosition);
        }
        Ok(Connection {
            tcp,
            client_nonce,
            server_nonce: welcome.nonce,
            exchange: 0,
        })
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&to)?;
        while let Some(Idle { connection, until }) = connections.pop() {
            if until > now && connection.is_reusable() {
                return Some(connection);
            }
        }
        idle.remove(&to);
        None
    }

    fn put_idle(&self, to: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let mut idle = self.lock();
        if idle.len() >= MAX_IDLE_PEERS && !idle.contains_key(&to) {
            idle.retain(|_, connections| connections.iter().any(|idle| idle.until > now));
            if idle.len() >= MAX_IDLE_PEERS {
                return;
            }
        }
        let connections = idle.entry(to).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(Idle {
                connection,
                until: now + IDLE_TIMEOUT,
            });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Connection {
    fn position(&self, index: u32) -> Position {
        Position {
            client_nonce: self.client_nonce,
            server_nonce: self.server_nonce,
            exchange: self.exchange,
            index,
        }
    }

    /// Returns whether the idle connection is open and has no unread data.
    fn is_reusable(&self) -> bool {
        let read = self.tcp.try_read(&mut [0]);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Writes a frame. After an error the peer can't have the complete frame, so it never runs the request.
    async fn send(&mut self, frame: &[u8], until: Instant) -> Result<(), Failure> {
        timeout_at(until.into(), self.tcp.write_all(frame))
            .await
            .map_err(|_| Failure::NotSent(frame::Error::Deadline))?
            .map_err(|error| Failure::NotSent(error.into()))
    }
}

/// Counts a failure in the metrics and converts it to the error of the caller.
fn count_failure(
    to: SocketAddr,
    result: Result<Vec<Response>, Failure>,
) -> Result<Vec<Response>, peer::Error> {
    let (sent, error) = match result {
        Ok(responses) => return Ok(responses),
        Err(Failure::NotSent(error)) => (false, error),
        Err(Failure::Sent(error)) => (true, error),
    };
    let reason = error.reason();
    let phase = if sent { "lost" } else { "not_sent" };
    metrics::counter!("tinbank_peer_asks_failed_total", "phase" => phase, "reason" => reason)
        .increment(1);
    if !sent {
        return Err(peer::Error::Connect(to));
    }
    Err(peer::Error::Lost {
        to,
        reason: error.to_string(),
    })
}
