//! Runs requests at upstreams.

mod attempt;
pub(crate) mod chat;
mod claim;
pub(crate) mod claimed;
pub(crate) mod plain;
mod stall_timeout;
mod telemetry;

pub(crate) use attempt::Attempt;
pub(crate) use telemetry::RequestTelemetry;

#[cfg(test)]
mod tests;
