//! Grants batch credits on each engine so that online requests never wait behind batch work.
//!
//! See `docs/design/admission.md`.

pub mod gate;

pub use gate::{Gate, Pass};
