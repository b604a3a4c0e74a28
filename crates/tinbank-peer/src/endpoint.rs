//! Peer endpoint that serves UDP and TCP on the same port number.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    time::Instant,
};

use async_trait::async_trait;
use tinbank_base::{
    frame::{
        Body, Datagram, credit,
        datagram::{Key, Keys, MAX_BYTES, seal_for},
        demand,
        heartbeat::Heartbeat,
        request::{Request, Response},
    },
    peer::{self, Answer, Peers},
    record::Writer,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    Clock,
    receive::Receiver,
    stream::{client::Pool, server::Server},
};

/// Attempts to find a port that is free for both UDP and TCP, if the settings give port 0.
const PORT_ATTEMPTS: usize = 16;
/// Queue length of received heartbeats. More are dropped, which is equivalent to loss on the network.
const HEARTBEAT_QUEUE_LENGTH: usize = 1_024;

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address that peers send to. Must not be unspecified, since frames are signed for the address of their receiver.
    /// Port 0 selects any port that is free for both protocols.
    pub address: SocketAddr,
    /// Identity of this process, sent with every frame.
    pub writer: Writer,
    /// Accepted keys. The first one signs.
    pub keys: Keys,
    pub clock: Arc<dyn Clock>,
}

/// Error opening an endpoint.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be bound.
    #[error("can't bind peer address {address} for TCP and UDP: {source}")]
    Bind {
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The address is unspecified.
    #[error(
        "peer address {0} is unspecified: set the host's own address, since frames are signed for it"
    )]
    Unspecified(SocketAddr),
    /// The settings contain no key.
    #[error("no peer key is given: frames between processes must be signed")]
    NoKey,
}

/// A heartbeat received from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// Sender. The MAC and the sequence of its frame were verified.
    pub from: Writer,
    pub heartbeat: Heartbeat,
}

/// Sends and receives frames at one address. Clones share the sockets, which are closed with the last clone or by
/// [`Endpoint::close`].
#[derive(Clone)]
pub struct Endpoint {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    identity: Arc<Identity>,
    udp: Arc<UdpSocket>,
    loss_percent: AtomicU8,
    pool: Pool,
    answer: Arc<OnceLock<Arc<dyn Answer>>>,
    heartbeats: std::sync::Mutex<Option<mpsc::Receiver<ReceivedHeartbeat>>>,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
}

/// Identity, keys and clock of this process, shared by all senders and receivers.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) writer: Writer,
    pub(crate) keys: Keys,
    pub(crate) clock: Arc<dyn Clock>,
    sequence: AtomicU64,
}

impl Identity {
    pub(crate) fn key(&self) -> &Key {
        &self.keys[0]
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

impl Settings {
    fn check(&self) -> Result<(), Error> {
        if self.address.ip().is_unspecified() {
            return Err(Error::Unspecified(self.address));
        }
        if self.keys.is_empty() {
            return Err(Error::NoKey);
        }
        Ok(())
    }
}

impl Endpoint {
    /// Binds both protocols and starts to receive. Requests are rejected as not ready until [`Endpoint::serve`] is
    /// called.
    ///
    /// # Errors
    /// Returns an error if the address is unspecified or in use, or if there is no key.
    pub async fn bind(settings: Settings) -> Result<Self, Error> {
        settings.check()?;
        let Settings {
            address,
            writer,
            keys,
            clock,
        } = settings;
        let (tcp, udp) = bind_same_port(address)
            .await
            .map_err(|source| Error::Bind { address, source })?;
        let address = udp
            .local_addr()
            .map_err(|source| Error::Bind { address, source })?;
        let identity = Arc::new(Identity {
            writer,
            keys,
            clock,
            sequence: AtomicU64::new(0),
        });
        let udp = Arc::new(udp);
        let answer = Arc::new(OnceLock::new());
        let stop = CancellationToken::new();
        let (heartbeat_sender, heartbeats) = mpsc::channel(HEARTBEAT_QUEUE_LENGTH);

        let receiver = Receiver::new(address, identity.clone(), answer.clone(), heartbeat_sender);
        tokio::spawn(receiver.run(udp.clone(), stop.clone()));
        let server = Server::new(identity.clone(), answer.clone(), stop.clone());
        tokio::spawn(server.run(tcp));

        Ok(Self {
            shared: Arc::new(Shared {
                address,
                pool: Pool::new(identity.clone()),
                identity,
                udp,
                loss_percent: AtomicU8::new(0),
                answer,
                heartbeats: std::sync::Mutex::new(Some(heartbeats)),
                _stop_on_drop: stop.clone().drop_guard(),
                stop,
            }),
        })
    }

    /// The address that peers send to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Identity of this process, as sent to peers.
    pub fn writer(&self) -> Writer {
        self.shared.identity.writer
    }

    /// The clock that stamps frames and records events in the timeline.
    pub fn clock(&self) -> &dyn Clock {
        &*self.shared.identity.clock
    }

    /// Sets the handler of requests and of datagrams about credits and limits. Only the first call has an effect.
    pub fn serve(&self, answer: Arc<dyn Answer>) {
        if self.shared.answer.set(answer).is_err() {
            log::error!(event = "peer_served_twice"; "ignored a second request handler for the peer endpoint");
        }
    }

    /// Returns the queue of received heartbeats, or `None` after the first call: it has a single consumer.
    pub fn heartbeats(&self) -> Option<mpsc::Receiver<ReceivedHeartbeat>> {
        let mut heartbeats = self
            .shared
            .heartbeats
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        heartbeats.take()
    }

    /// Sends a heartbeat and returns the size of its frame in bytes, or 0 if it was not sent. It may be lost.
    pub fn send_heartbeat(&self, to: SocketAddr, heartbeat: Heartbeat) -> usize {
        self.send(to, Body::Heartbeat(Box::new(heartbeat)))
    }

    /// Drops the given percentage of sent datagrams, to measure the effect of a lossy network.
    pub fn simulate_loss(&self, percent: u8) {
        self.shared.loss_percent.store(percent, Ordering::Relaxed);
    }

    /// Closes the sockets and aborts open requests.
    pub fn close(&self) {
        self.shared.stop.cancel();
    }

    fn send(&self, to: SocketAddr, body: Body) -> usize {
        let identity = &self.shared.identity;
        let datagram = Datagram {
            sender: identity.writer,
            sequence: identity.next_sequence(),
            stamp: identity.clock.stamp(),
            body,
        };
        let bytes = seal_for(&datagram, identity.key(), to);
        if bytes.len() > MAX_BYTES {
            metrics::counter!("tinbank_peer_not_sent_total", "reason" => "too_large").increment(1);
            return 0;
        }
        let loss = self.shared.loss_percent.load(Ordering::Relaxed);
        if loss > 0 && rand::random_range(0..100) < loss {
            return bytes.len();
        }
        if self.shared.udp.try_send_to(&bytes, to).is_err() {
            metrics::counter!("tinbank_peer_not_sent_total", "reason" => "socket").increment(1);
            return 0;
        }
        metrics::counter!("tinbank_peer_sent_bytes_total").increment(bytes.len() as u64);
        bytes.len()
    }
}

/// Binds TCP and UDP to the same port.
async fn bind_same_port(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = 0;
    loop {
        let tcp = TcpListener::bind(address).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => {
                // Before the first readiness event, `try_send_to` fails and the datagram would be lost.
                udp.writable().await?;
                return Ok((tcp, udp));
            }
            Err(error) if address.port() != 0 || attempts == PORT_ATTEMPTS => return Err(error),
            Err(_) => attempts += 1,
        }
    }
}

#[async_trait]
impl Peers for Endpoint {
    async fn ask(
        &self,
        to: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<Vec<Response>, peer::Error> {
        let stop = &self.shared.stop;
        tokio::select! {
            answer = self.shared.pool.ask(to, request, until) => answer,
            () = stop.cancelled() => Err(peer::Error::Lost {
                to,
                reason: "this process stops".into(),
            }),
        }
    }

    fn send_credit(&self, to: SocketAddr, message: credit::Message) {
        self.send(to, Body::Credit(message));
    }

    fn send_demand(&self, to: SocketAddr, message: demand::Message) {
        self.send(to, Body::Demand(message));
    }
}

impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Endpoint")
            .field("address", &self.shared.address)
            .field("writer", &self.shared.identity.writer)
            .finish_non_exhaustive()
    }
}
