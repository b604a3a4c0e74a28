//! Datagrams between processes, and the signing of frames.

use std::net::SocketAddr;

use hmac::{Hmac, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smallvec::SmallVec;

use super::{credit, demand, heartbeat::Heartbeat};
use crate::{clock::Stamp, record::Writer};

/// Version of the frame format that this build writes.
pub const VERSION: u8 = 1;
/// Largest datagram sent, in bytes; small enough to avoid fragmentation.
pub const MAX_BYTES: usize = 1_200;
/// Bytes of the truncated MAC at the end of a frame.
pub const MAC_BYTES: usize = 16;

/// A datagram between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    pub sender: Writer,
    /// Counter of the sender's frames, by which replayed ones are dropped.
    pub sequence: u64,
    /// Time and causal order.
    pub stamp: Stamp,
    pub body: Body,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Heartbeat of the sender, with updates about other processes.
    Heartbeat(Box<Heartbeat>),
    /// Message about batch credits.
    Credit(credit::Message),
    /// Message about limits that hold over all entry hosts.
    Demand(demand::Message),
}

/// A MAC key. Two keys are valid at a time during a key rotation.
#[derive(Clone)]
pub struct Key {
    /// Number that identifies the key in frames.
    pub number: u8,
    pub secret: [u8; 32],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({})", self.number)
    }
}

/// The keys that a process accepts; it signs with the first one.
pub type Keys = SmallVec<[Key; 2]>;

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Error {
    /// The frame is shorter than its header and MAC.
    #[error("the frame is too short")]
    Short,
    /// The frame has a version that this build can't read.
    #[error("the frame has version {0}")]
    Version(u8),
    /// The frame was signed with an unknown key.
    #[error("the frame names key {0}, which is not in the settings")]
    Key(u8),
    /// The MAC does not match.
    #[error("the frame's MAC does not match")]
    Mac,
    /// The body can't be decoded.
    #[error("the frame can't be decoded")]
    Malformed,
}

/// Encodes and signs a message as version, key number, body and MAC.
///
/// Used for datagrams and for frames over TCP.
pub fn seal<T: Serialize>(message: &T, key: &Key) -> Vec<u8> {
    seal_with(message, key, &[])
}

/// Encodes and signs a message for one receiver. The receiver's address is part of the MAC input, so that the frame can't be
/// replayed to another process.
pub fn seal_for<T: Serialize>(message: &T, key: &Key, to: SocketAddr) -> Vec<u8> {
    seal_with(message, key, &address_bytes(to))
}

fn seal_with<T: Serialize>(message: &T, key: &Key, associated: &[u8]) -> Vec<u8> {
    let header = vec![VERSION, key.number];
    let mut bytes = postcard::to_extend(message, header)
        .expect("frames hold only types that postcard can write");
    let mac = mac(key)
        .chain_update(&bytes)
        .chain_update(associated)
        .finalize()
        .into_bytes();
    bytes.extend_from_slice(&mac[..MAC_BYTES]);
    bytes
}

/// Verifies and decodes a frame written by [`seal`].
///
/// # Errors
/// Returns an error for any other input; never panics.
pub fn open<T: for<'de> Deserialize<'de>>(bytes: &[u8], keys: &[Key]) -> Result<T, Error> {
    open_with(bytes, keys, &[])
}

/// Verifies and decodes a frame written by [`seal_for`] for the receiver at `address`.
///
/// # Errors
/// Returns an error for any other input, including frames for another receiver; never panics.
pub fn open_for<T: for<'de> Deserialize<'de>>(
    bytes: &[u8],
    keys: &[Key],
    address: SocketAddr,
) -> Result<T, Error> {
    open_with(bytes, keys, &address_bytes(address))
}

fn open_with<T: for<'de> Deserialize<'de>>(
    bytes: &[u8],
    keys: &[Key],
    associated: &[u8],
) -> Result<T, Error> {
    let body_end = bytes.len().checked_sub(MAC_BYTES).ok_or(Error::Short)?;
    let (signed, tag) = bytes.split_at(body_end);
    let [version, number, body @ ..] = signed else {
        return Err(Error::Short);
    };
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    let key = keys
        .iter()
        .find(|key| key.number == *number)
        .ok_or(Error::Key(*number))?;
    mac(key)
        .chain_update(signed)
        .chain_update(associated)
        .verify_truncated_left(tag)
        .map_err(|_| Error::Mac)?;
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(Error::Malformed),
    }
}

fn address_bytes(address: SocketAddr) -> Vec<u8> {
    postcard::to_stdvec(&address).expect("an address is a type that postcard can write")
}

fn mac(key: &Key) -> Hmac<Sha256> {
    Hmac::new_from_slice(&key.secret).expect("HMAC takes keys of any length")
}
