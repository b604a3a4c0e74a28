//! The endpoint: one port number for UDP and TCP.

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

/// Tries to find a port that is free for UDP and TCP alike when the settings name none.
const PORT_TRIES: usize = 16;
/// Heartbeats that wait for the control thread; more are dropped, as a network would.
const HEARD_WAITING: usize = 1_024;

/// What an endpoint needs to know.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address that peers send to; never an unspecified one, for frames are signed for their receiver's address.
    /// Port 0 takes any port that is free for both protocols.
    pub address: SocketAddr,
    /// Who we are.
    pub writer: Writer,
    /// Keys that are accepted; the first one signs.
    pub keys: Keys,
    /// Clock that stamps frames.
    pub clock: Arc<dyn Clock>,
}

/// Why an endpoint could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be used.
    #[error("peers can't be served at {address}: {source}")]
    Bind {
        /// The address in the settings.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The address names no interface.
    #[error(
        "peers can't be served at {0}: give the host's own address, since frames are signed for it"
    )]
    Unspecified(SocketAddr),
    /// No key to sign with.
    #[error("no peer key is given: frames between processes must be signed")]
    NoKey,
}

/// A heartbeat that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// Who sent it; its MAC and sequence are checked.
    pub from: Writer,
    /// What it says.
    pub heartbeat: Heartbeat,
}

/// Sends and receives frames at one address. Clones share the sockets, which close with the last clone or at
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
    heard: std::sync::Mutex<Option<mpsc::Receiver<ReceivedHeartbeat>>>,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
}

/// Who signs and stamps.
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

    fn next(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

impl Settings {
    /// Frames are signed, and signed for one address.
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
    /// Binds both protocols and starts to receive. Requests wait until [`Endpoint::serve`] says who answers them.
    ///
    /// # Errors
    /// When the address is unspecified or taken, or there is no key.
    pub async fn bind(settings: Settings) -> Result<Self, Error> {
        settings.check()?;
        let Settings {
            address,
            writer,
            keys,
            clock,
        } = settings;
        let (tcp, udp) = open(address)
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
        let (hear, heard) = mpsc::channel(HEARD_WAITING);

        let receiver = Receiver::new(address, identity.clone(), answer.clone(), hear);
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
                heard: std::sync::Mutex::new(Some(heard)),
                _stop_on_drop: stop.clone().drop_guard(),
                stop,
            }),
        })
    }

    /// The address that peers send to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Who we are to peers.
    pub fn writer(&self) -> Writer {
        self.shared.identity.writer
    }

    /// The clock that stamps frames, with the time line behind it.
    pub fn clock(&self) -> &dyn Clock {
        &*self.shared.identity.clock
    }

    /// Says who answers requests and takes in datagrams about credits. Only the first call counts.
    pub fn serve(&self, answer: Arc<dyn Answer>) {
        if self.shared.answer.set(answer).is_err() {
            log::error!(event = "peer_served_twice"; "an endpoint was given a second answerer");
        }
    }

    /// The heartbeats received; `None` after the first call, since membership alone takes them.
    pub fn heartbeats(&self) -> Option<mpsc::Receiver<ReceivedHeartbeat>> {
        let mut heard = self
            .shared
            .heard
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        heard.take()
    }

    /// Sends a heartbeat and returns its size in bytes. It may be lost.
    pub fn send_heartbeat(&self, to: SocketAddr, heartbeat: Heartbeat) -> usize {
        self.send(to, Body::Heartbeat(Box::new(heartbeat)))
    }

    /// Loses so many in 100 datagrams that this endpoint sends, as a bad network does, so that the harm can be measured.
    pub fn simulate_loss(&self, percent: u8) {
        self.shared.loss_percent.store(percent, Ordering::Relaxed);
    }

    /// Closes the sockets and breaks off open requests.
    pub fn close(&self) {
        self.shared.stop.cancel();
    }

    fn send(&self, to: SocketAddr, body: Body) -> usize {
        let identity = &self.shared.identity;
        let datagram = Datagram {
            sender: identity.writer,
            sequence: identity.next(),
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
async fn open(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        let tcp = TcpListener::bind(address).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => {
                // Before the first readiness event `try_send_to` would drop what it is given.
                udp.writable().await?;
                return Ok((tcp, udp));
            }
            Err(error) if address.port() != 0 || tries == PORT_TRIES => return Err(error),
            Err(_) => tries += 1,
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
