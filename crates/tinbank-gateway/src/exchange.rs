//! A single HTTP exchange over its own connection.
//!
//! Connections are not reused: an upstream closes idle ones without notice, and a late response could be taken for the
//! response to the next request. See `docs/design/users-platform.md`.

mod head_limit;

use std::{
    io::ErrorKind,
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    task::{self, AbortHandle},
    time,
};

use self::head_limit::{HeadLimit, HeadLimited};

/// How long sent data may stay unacknowledged before the connection is closed. Without this limit a connection to a
/// host that lost power hangs. It is the shortest time after which callers leave a silent stream.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Most bytes that a connection reads before the head of its response is complete. Interim responses have no number or size in HTTP,
/// and their reader yields to other tasks only after tens of megabytes.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// Time in which a process reads what has arrived at its connections.
const READ_TIME: Duration = Duration::from_millis(5);

/// Why an exchange got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection broke; the request may have arrived.
    #[error("connection lost: {0}")]
    Lost(String),
    /// No response arrived in time; the request may have arrived.
    #[error("no response in time")]
    Timeout,
}

/// Guard that closes the connection when it is dropped, which cancels the request at the server.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Deadlines of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// When the connection must be established.
    pub connect: Instant,
    /// When the head of the response must have arrived.
    pub response: Instant,
}

/// Sends a request over a new connection and waits for the head of the response.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadlines: Deadlines,
) -> Result<(Response<Incoming>, ConnectionGuard), Error> {
    send_buffered(address, request, deadlines, None).await
}

/// Like [`send`], with a limit on what the connection reads ahead of the response's body and on the size of its head.
pub async fn send_buffered(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadlines: Deadlines,
    max_buffer_bytes: Option<usize>,
) -> Result<(Response<Incoming>, ConnectionGuard), Error> {
    let connect_by = deadlines.connect.min(deadlines.response);
    let connection = Connection::open(address, connect_by, max_buffer_bytes).await?;
    connection.send(request, deadlines.response).await
}

/// An open connection over which nothing was sent.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    guard: ConnectionGuard,
    head_limit: HeadLimit,
}

impl Connection {
    /// Opens a connection that reads ahead at most `max_buffer_bytes`. A busy process may notice only long after `until` that
    /// it is open.
    pub async fn open(
        address: SocketAddr,
        until: Instant,
        max_buffer_bytes: Option<usize>,
    ) -> Result<Self, Error> {
        let stream = connect(address, until).await?;
        let (stream, head_limit) = HeadLimited::new(stream, MAX_HEAD_BYTES);
        let mut builder = http1::Builder::new();
        if let Some(max_bytes) = max_buffer_bytes {
            builder.max_buf_size(max_bytes);
        }
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let task = task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "connection ended");
            }
        });
        let guard = ConnectionGuard(task.abort_handle());
        Ok(Self {
            sender,
            guard,
            head_limit,
        })
    }

    /// Sends a request and waits for the head of the response, which must arrive by `until`.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<(Response<Incoming>, ConnectionGuard), Error> {
        let response = receive_by(until, self.sender.send_request(request)).await;
        match response {
            Some(Ok(response)) => {
                self.head_limit.lift();
                Ok((response, self.guard))
            }
            Some(Err(error)) => Err(Error::Lost(error.to_string())),
            None => Err(Error::Timeout),
        }
    }
}

/// Waits for input from a connection until a deadline. Returns `None` if there is none.
///
/// What arrived before is read also after the deadline: a process that was stopped sees that its timers have expired before it
/// looks at its connections.
pub(crate) async fn receive_by<T>(deadline: Instant, input: impl Future<Output = T>) -> Option<T> {
    let mut input = pin!(input);
    match time::timeout_at(deadline.into(), &mut input).await {
        Ok(received) => Some(received),
        Err(_) => time::timeout(READ_TIME, input).await.ok(),
    }
}

/// Reads the body of a response, at most `max_bytes` of it. Fails if no data arrives for `stall_timeout`. There is no timeout
/// for the body as a whole, because on a slow link a retry would transfer the same data again.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    stall_timeout: Duration,
) -> Result<Bytes, Error> {
    let mut body = Limited::new(body, max_bytes);
    let mut collected = BytesMut::new();
    loop {
        let frame = match time::timeout(stall_timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(Error::Lost(error.to_string())),
            Ok(None) => return Ok(collected.freeze()),
            Err(_) => return Err(Error::Timeout),
        };
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
    }
}

async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, Error> {
    let connected = receive_by(deadline, TcpStream::connect(address)).await;
    let stream = match connected {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => return Err(Error::NotSent(error.to_string())),
        None => return Err(Error::NotSent("connect timed out".to_owned())),
    };
    set_socket_options(&stream);
    Ok(stream)
}

/// Outcome of a probe of an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A process accepted the connection.
    Listening,
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The host did not respond: it may be unreachable or without power.
    Unresponsive,
}

impl ProbeOutcome {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Listening => "listening",
            Self::Refused => "ended",
            Self::Unresponsive => "silent",
        }
    }
}

/// Probes whether a process listens at an address, by opening a connection and closing it.
pub async fn probe(address: SocketAddr, timeout: Duration) -> ProbeOutcome {
    match time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeOutcome::Listening,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        Ok(Err(_)) | Err(_) => ProbeOutcome::Unresponsive,
    }
}

/// Sets the socket options of accepted and outgoing connections.
pub fn set_socket_options(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "failed to set TCP_NODELAY");
    }
    set_user_timeout(stream, USER_TIMEOUT);
}

/// Sets how long the peer of a connection may take nothing of what is sent, whether it is lost or does not read.
pub fn set_user_timeout(stream: &TcpStream, timeout: Duration) {
    let result = SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
    if let Err(error) = result {
        log::debug!(error:%; "failed to set TCP_USER_TIMEOUT");
    }
}
