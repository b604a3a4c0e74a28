//! Frames of a connection, and their encoding and decoding.

use std::{io, time::Duration};

use serde::{Deserialize, Serialize};
use tinbank_base::{
    clock::Stamp,
    frame::{
        datagram::{self, Key, open, seal},
        request::{MAX_BYTES, Request, Response},
    },
    record::Writer,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest frame of the handshake, in bytes. Small, since the peer is not authenticated yet.
pub(super) const MAX_HANDSHAKE_FRAME: usize = 256;
/// Largest frame of a request or a response, in bytes.
pub(super) const MAX_FRAME: usize = MAX_BYTES;
/// Time limit of the handshake.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;

/// Random number chosen by each side for each connection.
pub(super) type Nonce = u128;

/// Handshake frame of the client.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) nonce: Nonce,
}

/// Handshake frame of the server. Contains the client's nonce, so that a recorded frame can't be replayed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Welcome {
    pub(super) client_nonce: Nonce,
    pub(super) nonce: Nonce,
}

/// Binds a frame to its connection and its position there, so that a recorded frame can't be replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Position {
    pub(super) client_nonce: Nonce,
    pub(super) server_nonce: Nonce,
    /// Number of the request on the connection, from 1.
    pub(super) exchange: u64,
    /// 0 for the request, then the number of the response frame, from 1.
    pub(super) index: u32,
}

/// Frame of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RequestFrame {
    pub(super) position: Position,
    pub(super) sender: Writer,
    pub(super) stamp: Stamp,
    /// Time that the client waits for the response, in milliseconds. A duration, since clocks are not synchronized.
    pub(super) timeout_ms: u32,
    pub(super) request: Request,
}

/// Frame of a response, which may have several.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ResponseFrame {
    pub(super) position: Position,
    pub(super) stamp: Stamp,
    pub(super) last: bool,
    pub(super) response: Response,
}

/// Error sending or receiving a frame.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("a frame of {size} bytes is over the limit of {limit}")]
    TooLarge { size: usize, limit: usize },
    #[error("{0}")]
    Frame(#[from] datagram::Error),
    #[error("a frame belongs to another exchange")]
    UnexpectedPosition,
    #[error("the deadline passed")]
    Deadline,
}

impl Error {
    /// Value of the `reason` label in metrics.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::TooLarge { .. } => "too_large",
            Self::Frame(datagram::Error::Mac) => "mac",
            Self::Frame(datagram::Error::Version(_)) => "version",
            Self::Frame(datagram::Error::Key(_)) => "key",
            Self::Frame(_) => "malformed",
            Self::UnexpectedPosition => "replay",
            Self::Deadline => "deadline",
        }
    }
}

/// Encodes a frame with its length prefix.
///
/// # Errors
/// Returns an error if the frame is larger than [`MAX_FRAME`].
pub(super) fn encode<T: Serialize>(message: &T, key: &Key) -> Result<Vec<u8>, Error> {
    let sealed = seal(message, key);
    let size = sealed.len();
    if size > MAX_FRAME {
        return Err(Error::TooLarge {
            size,
            limit: MAX_FRAME,
        });
    }
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + size);
    bytes.extend_from_slice(&(size as u32).to_be_bytes());
    bytes.extend_from_slice(&sealed);
    Ok(bytes)
}

pub(super) async fn write<T: Serialize>(
    to: &mut (impl AsyncWrite + Unpin),
    message: &T,
    key: &Key,
) -> Result<(), Error> {
    let bytes = encode(message, key)?;
    to.write_all(&bytes).await?;
    Ok(())
}

/// Reads one frame and returns it with its size. The buffer grows with the bytes received, not by the length prefix, so
/// that a peer can't make this process allocate memory without sending data.
pub(super) async fn read<T: for<'de> Deserialize<'de>>(
    from: &mut (impl AsyncRead + Unpin),
    keys: &[Key],
    limit: usize,
) -> Result<(T, usize), Error> {
    let mut length = [0; LENGTH_BYTES];
    from.read_exact(&mut length).await?;
    let size = u32::from_be_bytes(length) as usize;
    if size > limit {
        return Err(Error::TooLarge { size, limit });
    }
    let mut bytes = Vec::new();
    from.take(size as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < size {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok((open(&bytes, keys)?, size))
}
