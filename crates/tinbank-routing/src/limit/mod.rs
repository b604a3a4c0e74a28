//! Limits of customers, which hold over all entry hosts together though no host is asked on a request's way. Pure.
//!
//! Each host enforces a share of a limit that follows where the demand arrives. A limit's keeper, one of the online
//! processes, grants the parts. See `docs/design/limits.md`.

mod account;
pub mod bucket;
pub mod claim;
pub mod demand;
pub mod keeper;
mod limiter;
pub mod ring;
pub mod scope;
pub mod share;

pub use keeper::Keeper;
pub use limiter::{Limiter, Refusal};
pub use scope::{Scope, LimitKind};
