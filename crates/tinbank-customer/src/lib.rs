//! Identifies the customer of a request by its API key. Performs no I/O.
//!
//! Keys are stored only as digests, both in memory and in the configuration that hosts exchange. See
//! `docs/design/customers.md`.

mod caller;
mod customers;
mod key;

pub use caller::{Caller, Refusal, identify};
pub use customers::{Customer, Customers};
pub use key::KeyDigest;
