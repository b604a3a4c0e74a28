//! Owns work shards: follows them, takes their leases, appends what is due, hands items to the runner, answers peers.
//!
//! One control task holds all state; everything slow (log, upstreams) happens in tasks that send it messages. See
//! `docs/design/ledger.md` for what the records mean and `docs/design/leases.md` for who may act.

pub mod answer;
mod appends;
mod asks;
mod control;
mod dispatches;
mod follow;
mod hand;
mod input;
mod load;
mod outbox;
mod read;
mod reports;
mod results;
mod shard;
mod upkeep;

pub use control::{Owner, Dependencies};
pub use input::{Ask, Plan};
