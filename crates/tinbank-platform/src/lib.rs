//! Adapters that reach the platform's log, host list, weight store and upstreams over HTTP.
//!
//! Each adapter sorts what can go wrong into "provably no effect" and "unknown", because all
//! retries above rest on that difference. The wire forms are in `docs/design/platform.md`.

mod client;
pub mod hosts;
pub mod log;
pub mod upstream;
pub mod weights;
pub mod wire;
