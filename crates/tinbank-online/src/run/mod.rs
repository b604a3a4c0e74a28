//! Runs requests at upstreams.

mod attempt;
pub(crate) mod chat;
mod claim;
pub(crate) mod claimed;
mod journal;
mod patience;
pub(crate) mod plain;

pub(crate) use attempt::Attempt;
pub(crate) use journal::Journal;

#[cfg(test)]
mod tests;
