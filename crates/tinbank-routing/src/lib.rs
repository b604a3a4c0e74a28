//! Chooses an upstream for a request and decides limits, retries and ejection.
//!
//! See `docs/design/routing.md`.

pub mod choice;
pub mod health;
pub mod leaving;
pub mod limit;
pub mod pick;
pub mod prefix;
pub mod retry;
pub mod shed;
mod sync;
pub mod table;

pub use choice::{Choice, RouteRequest, Router};
pub use table::Table;
