//! Grants batch credits on each engine so that online requests never wait behind batch work.
//!
//! See `docs/design/admission.md`.

pub mod gate;
mod service;

pub use gate::{Gate, Pass};
pub use service::{Engine, Service, Settings, Teller};
