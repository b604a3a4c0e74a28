//! Runs requests at upstreams.

mod attempt;
pub(crate) mod chat;
pub(crate) mod claim;
mod journal;
pub(crate) mod plain;

pub(crate) use attempt::Attempt;
pub(crate) use journal::Journal;
