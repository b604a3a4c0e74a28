//! One HTTP exchange over a connection of its own.
//!
//! Connections are not kept: an upstream closes idle ones without notice, and its late answers could meet the next
//! request. A new connection costs a round trip. See `docs/design/users-platform.md`.

use std::{
    io::ErrorKind,
    net::SocketAddr,
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

/// For how long data may stay unacknowledged before the connection counts as broken. Without it a connection to a host
/// that lost power hangs. Source: the shortest time after which a caller leaves a silent stream.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an exchange gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There was no connection, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The request may have arrived.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The request may have arrived, and there was no answer in time.
    #[error("no answer in time")]
    Timeout,
}

/// Closes the connection when it is dropped, which cancels the request at the other side.
#[derive(Debug)]
pub struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Times by which the parts of an exchange must be done.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// The connection is there.
    pub connect: Instant,
    /// The head of the answer is there.
    pub response: Instant,
}

/// Sends a request over a new connection and waits for the head of the answer.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    until: Deadlines,
) -> Result<(Response<Incoming>, ConnectionGuard), Error> {
    let stream = connect(address, until.connect.min(until.response)).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::NotSent(error.to_string()))?;
    let task = task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(error:%; "connection ended");
        }
    });
    let guard = ConnectionGuard(task.abort_handle());
    let answer = time::timeout_at(until.response.into(), sender.send_request(request)).await;
    match answer {
        Ok(Ok(answer)) => Ok((answer, guard)),
        Ok(Err(error)) => Err(Error::Lost(error.to_string())),
        Err(_) => Err(Error::Timeout),
    }
}

/// Reads the body of an answer for as long as its bytes come, at most `most` of them, and each within `stall` of the one before.
/// A time for the whole of it would throw away what a slow link has brought, and bring it again.
pub async fn read_body(body: Incoming, most: usize, stall: Duration) -> Result<Bytes, Error> {
    let mut body = Limited::new(body, most);
    let mut whole = BytesMut::new();
    loop {
        let frame = match time::timeout(stall, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(Error::Lost(error.to_string())),
            Ok(None) => return Ok(whole.freeze()),
            Err(_) => return Err(Error::Timeout),
        };
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
    }
}

async fn connect(address: SocketAddr, until: Instant) -> Result<TcpStream, Error> {
    let connected = time::timeout_at(until.into(), TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Error::NotSent(error.to_string())),
        Err(_) => return Err(Error::NotSent("no answer to the connect".to_owned())),
    };
    tune(&stream);
    Ok(stream)
}

/// What a look at an address found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Somebody listens there.
    Listening,
    /// Nobody does: the process there has ended.
    Refused,
    /// There is no answer: it may be cut off, or without power.
    Unresponsive,
}

impl ProbeOutcome {
    /// The name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Listening => "listening",
            Self::Refused => "ended",
            Self::Unresponsive => "silent",
        }
    }
}

/// Looks whether somebody listens at an address, by a connection that carries nothing.
pub async fn probe(address: SocketAddr, patience: Duration) -> ProbeOutcome {
    match time::timeout(patience, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeOutcome::Listening,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        Ok(Err(_)) | Err(_) => ProbeOutcome::Unresponsive,
    }
}

/// Sets what both sides of the process want of a connection.
pub fn tune(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "connection without TCP_NODELAY");
    }
    let timeout = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    if let Err(error) = timeout {
        log::debug!(error:%; "connection without TCP_USER_TIMEOUT");
    }
}
