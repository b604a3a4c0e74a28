//! Runs requests at upstreams.

mod attempt;
pub(crate) mod chat;
mod claim;
pub(crate) mod claimed;
mod telemetry;
mod stall_timeout;
pub(crate) mod plain;

pub(crate) use attempt::Attempt;
pub(crate) use telemetry::RequestTelemetry;

#[cfg(test)]
mod tests;
