//! How the hosts of a fleet learn what the platform's store holds, without each of them reading all of it.
//!
//! A few delegates of each failure domain read the store ([`delegation`]); every other host follows one of them
//! ([`message`], [`source`]). Whoever does call the store spreads its retries by chance ([`backoff`]). All of it is pure;
//! `tinbank-gateway` does the I/O. See `docs/design/delegates.md`.

pub mod backoff;
pub mod delegation;
pub mod history;
pub mod message;
pub mod source;

pub use self::{
    backoff::{Backoff, ResponseTimeout},
    delegation::Delegation,
    history::History,
    source::Sources,
};
