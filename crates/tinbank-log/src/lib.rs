//! Writes to and reads from log streams: writer identity, resend after a lost answer, group commit
//! under a budget, reads to the tail.
//!
//! See `docs/design/log-client.md`.

pub mod budget;
pub mod encode;
pub mod fold;
pub mod group;
pub mod reader;
pub mod writer;
