//! Traits for the platform's services. `tinbank-platform` implements them over HTTP, `tinbank-test-support` in memory.

pub mod hosts;
pub mod log;
pub mod upstream;
pub mod weights;
