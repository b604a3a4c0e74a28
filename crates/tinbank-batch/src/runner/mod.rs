//! Runs items: shares capacity between customers, sends to upstreams, retries, and hands ends to the owner.

pub mod answer;
pub mod attempt;
pub mod lanes;
pub mod partition;
pub mod pool;
pub mod quota;
pub mod retry;
pub mod room;
pub mod share;
pub mod task;
