//! Distribution of the platform store's lists to the hosts of a fleet, without each host reading all of them.
//!
//! A few delegates of each failure domain read the store ([`delegation`]); every other host follows one of them
//! ([`message`], [`source`]). Calls to the store that fail are retried with jitter ([`backoff`]). This crate does no I/O, which
//! `tinbank-gateway` adds. See `docs/design/delegates.md`.

pub mod backoff;
pub mod delegation;
pub mod history;
pub mod message;
pub mod replica;
pub mod source;

pub use self::{
    backoff::{Backoff, ResponseTimeout},
    delegation::Delegation,
    history::History,
    replica::Replica,
    source::SourceSelector,
};
