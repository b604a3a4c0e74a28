//! Runs items: shares capacity between customers, sends items to upstreams, retries, and reports outcomes to the owner.

pub mod answer;
pub mod attempt;
pub mod concurrency_gate;
pub mod isolation;
pub mod partition;
pub mod pool;
pub mod quota;
pub mod retry;
pub mod scheduler;
pub mod task;
