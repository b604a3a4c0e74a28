//! Grants batch credits on each engine so that online requests never wait behind batch work.
//!
//! [`controller::Controller`] and [`holder::Holder`] decide and do no I/O; [`Service`] drives both in a batch process,
//! and [`LoadReporter`] reports the load of an online process to controllers. See `docs/design/admission.md`.

mod burst;
pub mod controller;
mod credit_requests;
pub mod gate;
pub mod holder;
mod load_reporter;
mod rank;
mod service;
mod share;

pub use controller::{Engine, Settings};
pub use gate::{Gate, Pass};
pub use load_reporter::LoadReporter;
pub use service::Service;
