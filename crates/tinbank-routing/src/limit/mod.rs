//! Limits of customers, which hold over all entry hosts together though no host is asked on a request's way. Pure.
//!
//! Each host enforces a share of a limit that follows where the demand arrives. See `docs/design/limits.md`.

pub mod bucket;
pub mod demand;
mod limiter;
pub mod share;

pub use demand::{Demand, Digest};
pub use limiter::{Limiter, Refusal, Which};
