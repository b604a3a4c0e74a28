//! Records of the log streams, and the envelope that carries them.
//!
//! An append holds one envelope with any number of records (group commit). The envelope names its
//! writer, so that a second copy of an append whose answer was lost is dropped in the fold. See
//! `docs/design/ledger.md`.

pub mod claim;
pub mod config;
pub mod envelope;
pub mod lease;
pub mod work;

pub use envelope::{Envelope, Error, Writer};
