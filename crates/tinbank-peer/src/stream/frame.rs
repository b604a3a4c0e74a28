//! Frames on a connection, and their way on and off the wire.

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

/// Largest frame of the greeting, which comes before the other side has shown that it holds a key.
pub(super) const MAX_GREETING: usize = 256;
/// Largest frame of a request or an answer.
pub(super) const MAX_FRAME: usize = MAX_BYTES;
/// Time that the other side has for its greeting.
pub(super) const GREETING_WITHIN: Duration = Duration::from_secs(2);
/// Bytes of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// Drawn by each side for each connection.
pub(super) type Nonce = u128;

/// The asker's greeting.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) nonce: Nonce,
}

/// The answerer's greeting: it names the asker's nonce, so it can't be a recorded one.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Welcome {
    pub(super) asker: Nonce,
    pub(super) nonce: Nonce,
}

/// Ties a frame to its connection and its place there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Place {
    pub(super) asker: Nonce,
    pub(super) answerer: Nonce,
    /// Counts the requests of the connection.
    pub(super) exchange: u64,
    /// 0 for the request, then counts the frames of its answer.
    pub(super) index: u32,
}

/// A request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Ask {
    pub(super) place: Place,
    pub(super) sender: Writer,
    pub(super) stamp: Stamp,
    /// Milliseconds that the asker waits. Clocks are not shared, so the receiver turns it into its own deadline.
    pub(super) within_ms: u32,
    pub(super) request: Request,
}

/// One frame of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Reply {
    pub(super) place: Place,
    pub(super) stamp: Stamp,
    pub(super) last: bool,
    pub(super) response: Response,
}

/// Why a frame could not be moved.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("a frame of {size} bytes is over the limit of {limit}")]
    TooLarge { size: usize, limit: usize },
    #[error("{0}")]
    Frame(#[from] datagram::Error),
    #[error("a frame belongs to another exchange")]
    Place,
    #[error("the deadline passed")]
    Deadline,
}

impl Error {
    /// Label of the metric that counts it.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::TooLarge { .. } => "too_large",
            Self::Frame(datagram::Error::Mac) => "mac",
            Self::Frame(datagram::Error::Version(_)) => "version",
            Self::Frame(datagram::Error::Key(_)) => "key",
            Self::Frame(_) => "malformed",
            Self::Place => "replay",
            Self::Deadline => "deadline",
        }
    }
}

/// Encodes a frame with its length in front.
///
/// # Errors
/// When it is over the limit; nothing was written then.
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

/// Reads one frame and tells its size. The buffer grows with what really comes, not with what the length promises.
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
