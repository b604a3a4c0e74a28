//! The asking side: pooled connections, one exchange at a time on each.

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
    self, Ask, GREETING_WITHIN, Hello, MAX_FRAME, MAX_GREETING, Nonce, Place, Reply, Welcome,
};
use crate::endpoint::Identity;

/// Idle connections kept for one peer.
const MAX_IDLE: usize = 4;
/// Peers with idle connections; a host talks often to few of the others.
const MAX_PEERS: usize = 256;
/// How long an idle connection is kept; shorter than the answerer's, so that it is we who close it.
const IDLE_FOR: Duration = Duration::from_secs(20);
/// Bytes of one whole answer, so that no peer can fill our memory.
const MAX_ANSWER: usize = 64 << 20;

/// Connections by peer.
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
    asker: Nonce,
    answerer: Nonce,
    exchange: u64,
}

/// How an exchange failed, seen from what the peer can have.
enum Failure {
    /// The peer can't have the whole request.
    NotSent(frame::Error),
    /// The peer may have run it.
    Sent(frame::Error),
}

impl Pool {
    pub(crate) fn new(identity: Arc<Identity>) -> Self {
        Self {
            identity,
            idle: Mutex::default(),
        }
    }

    /// Asks over a pooled connection, or a new one if none is left or it proves dead before the request was sent.
    pub(crate) async fn ask(
        &self,
        to: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<Vec<Response>, peer::Error> {
        while let Some(connection) = self.take(to) {
            match self.exchange(connection, to, &request, until).await {
                Err(Failure::NotSent(frame::Error::Io(_))) => {}
                result => return report(to, result),
            }
        }
        let connection = match self.connect(to, until).await {
            Ok(connection) => connection,
            Err(error) => return report(to, Err(Failure::NotSent(error))),
        };
        let result = self.exchange(connection, to, &request, until).await;
        report(to, result)
    }

    async fn exchange(
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
        self.give_back(to, connection);
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
        let ask = Ask {
            place: connection.place(0),
            sender: self.identity.writer,
            stamp: self.identity.clock.stamp(),
            within_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            request: request.clone(),
        };
        frame::encode(&ask, self.identity.key()).map_err(Failure::NotSent)
    }

    async fn receive(
        &self,
        connection: &mut Connection,
        until: Instant,
    ) -> Result<Vec<Response>, frame::Error> {
        let mut responses = Vec::new();
        let mut room = MAX_ANSWER;
        loop {
            let limit = room.min(MAX_FRAME);
            let read = frame::read::<Reply>(&mut connection.tcp, &self.identity.keys, limit);
            let (reply, size) = timeout_at(until.into(), read)
                .await
                .map_err(|_| frame::Error::Deadline)??;
            let index = responses.len() as u32 + 1;
            if reply.place != connection.place(index) {
                return Err(frame::Error::Place);
            }
            self.identity.clock.observe(reply.stamp);
            room -= size;
            responses.push(reply.response);
            if reply.last {
                return Ok(responses);
            }
        }
    }

    async fn connect(&self, to: SocketAddr, until: Instant) -> Result<Connection, frame::Error> {
        let greeting_until = until.min(Instant::now() + GREETING_WITHIN);
        timeout_at(greeting_until.into(), self.greet(to))
            .await
            .map_err(|_| frame::Error::Deadline)?
    }

    async fn greet(&self, to: SocketAddr) -> Result<Connection, frame::Error> {
        let mut tcp = TcpStream::connect(to).await?;
        tcp.set_nodelay(true)?;
        let asker = rand::random::<Nonce>();
        let hello = Hello { nonce: asker };
        frame::write(&mut tcp, &hello, self.identity.key()).await?;
        let (welcome, _) =
            frame::read::<Welcome>(&mut tcp, &self.identity.keys, MAX_GREETING).await?;
        if welcome.asker != asker {
            return Err(frame::Error::Place);
        }
        Ok(Connection {
            tcp,
            asker,
            answerer: welcome.nonce,
            exchange: 0,
        })
    }

    fn take(&self, to: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&to)?;
        while let Some(Idle { connection, until }) = connections.pop() {
            if until > now && connection.is_quiet() {
                return Some(connection);
            }
        }
        idle.remove(&to);
        None
    }

    fn give_back(&self, to: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let mut idle = self.lock();
        if idle.len() >= MAX_PEERS && !idle.contains_key(&to) {
            idle.retain(|_, connections| connections.iter().any(|idle| idle.until > now));
            if idle.len() >= MAX_PEERS {
                return;
            }
        }
        let connections = idle.entry(to).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle {
                connection,
                until: now + IDLE_FOR,
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
    fn place(&self, index: u32) -> Place {
        Place {
            asker: self.asker,
            answerer: self.answerer,
            exchange: self.exchange,
            index,
        }
    }

    /// Whether the peer has neither closed the idle connection nor said anything out of turn.
    fn is_quiet(&self) -> bool {
        let read = self.tcp.try_read(&mut [0]);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Writes a frame. If not all of it was taken the peer can never have the whole, and half a frame is never run.
    async fn send(&mut self, frame: &[u8], until: Instant) -> Result<(), Failure> {
        timeout_at(until.into(), self.tcp.write_all(frame))
            .await
            .map_err(|_| Failure::NotSent(frame::Error::Deadline))?
            .map_err(|error| Failure::NotSent(error.into()))
    }
}

fn report(
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
