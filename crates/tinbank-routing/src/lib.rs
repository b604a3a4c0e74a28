//! Chooses an upstream for a request and decides limits, retries and ejection.
//!
//! See `docs/design/routing.md`.

pub mod choice;

pub use choice::{Ask, Choice, Router};
