//! Records of the log streams, and the envelope that carries them.
//!
//! An append contains one envelope with any number of records (group commit). The envelope identifies its writer and append,
//! so that the fold can drop a duplicate that was appended after a lost answer. See `docs/design/ledger.md`.

pub mod claim;
pub mod config;
pub mod envelope;
pub mod lease;
pub mod work;

pub use envelope::{Envelope, Error, Writer};
