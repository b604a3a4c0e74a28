//! Requests over TCP, as length-prefixed authenticated frames.
//!
//! Each side chooses a nonce for each connection. Every frame after the handshake contains both nonces and its
//! position, so that a recorded frame can't be replayed on another connection or again on the same one.

pub(crate) mod client;
mod frame;
pub(crate) mod server;
