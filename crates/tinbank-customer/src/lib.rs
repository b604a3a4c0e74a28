//! Tells whose key a request carries, and what that customer may do. Pure.
//!
//! No key is kept: the configuration in memory, and what hosts tell each other of it, hold digests only. See
//! `docs/design/customers.md`.

mod caller;
mod customers;
mod key;

pub use caller::{Caller, Refusal, identify};
pub use customers::{Customer, Customers};
pub use key::KeyDigest;
