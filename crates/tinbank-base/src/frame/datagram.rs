//! The datagram: header, body and MAC.

use std::net::SocketAddr;

use hmac::{Hmac, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smallvec::SmallVec;

use super::{credit, demand, heartbeat::Heartbeat};
use crate::{clock::Stamp, record::Writer};

/// Version of the frame format that this build writes.
pub const VERSION: u8 = 1;
/// Largest datagram sent, in bytes: it passes any path unfragmented.
pub const MAX_BYTES: usize = 1_200;
/// Bytes of the truncated MAC at the end of a frame.
pub const MAC_BYTES: usize = 16;

/// A frame between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sent it.
    pub sender: Writer,
    /// Counts the sender's frames, so that a replayed one is dropped.
    pub sequence: u64,
    /// When, in causal order.
    pub stamp: Stamp,
    /// What it says.
    pub body: Body,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The sender lives; news of others.
    Heartbeat(Box<Heartbeat>),
    /// Batch credits: wishes, grants, withdrawals and online load.
    Credit(credit::Message),
    /// Limits over all entry hosts: claims and grants.
    Demand(demand::Message),
}

/// A key for MACs, with the number that frames name it by. Two are valid at a time while a key is changed.
#[derive(Clone)]
pub struct Key {
    /// Its number.
    pub number: u8,
    /// Its bytes.
    pub secret: [u8; 32],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({})", self.number)
    }
}

/// The keys that a process accepts; the first one signs.
pub type Keys = SmallVec<[Key; 2]>;

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Error {
    /// Shorter than its header and MAC.
    #[error("the frame is too short")]
    Short,
    /// Of a version that this build can't read.
    #[error("the frame has version {0}")]
    Version(u8),
    /// Signed by a key that we don't have.
    #[error("the frame names key {0}, which is not in the settings")]
    Key(u8),
    /// The MAC does not match.
    #[error("the frame's MAC does not match")]
    Mac,
    /// The body can't be decoded.
    #[error("the frame can't be decoded")]
    Malformed,
}

/// Signs an encoded body: version, key number, body, MAC.
///
/// Used for datagrams and for frames on TCP alike.
pub fn seal<T: Serialize>(message: &T, key: &Key) -> Vec<u8> {
    seal_with(message, key, &[])
}

/// Signs a message for one receiver: its address goes into the MAC, at no cost in bytes, so that a frame that was
/// sent to one process can't be replayed to another one.
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

/// Checks and decodes what [`seal`] wrote.
///
/// # Errors
/// Any other input gives an error; none panics.
pub fn open<T: for<'de> Deserialize<'de>>(bytes: &[u8], keys: &[Key]) -> Result<T, Error> {
    open_with(bytes, keys, &[])
}

/// Checks and decodes what [`seal_for`] wrote for the receiver at `address`.
///
/// # Errors
/// Any other input gives an error, a frame for another receiver among them; none panics.
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
