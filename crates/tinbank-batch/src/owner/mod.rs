//! Owns work shards: follows them, takes their leases, appends due records, gives items to the runner, answers requests.
//!
//! One control task holds all state. Slow operations (log, upstreams) run in tasks that send it messages. See
//! `docs/design/ledger.md` for what the records mean and `docs/design/leases.md` for who may act.

mod active_items;
pub mod answer;
mod appends;
mod control;
mod dispatches;
mod follow;
mod input;
mod load;
mod outbox;
mod read;
mod reports;
mod requests;
mod results;
mod shard;
mod upkeep;

pub use control::{Dependencies, Owner};
pub use input::{OwnerRequest, ResultPlan};
