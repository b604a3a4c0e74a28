//! Rate and concurrency limits of customers, enforced over all entry hosts without communication on the request path.
//!
//! Each host enforces a share of each limit, which follows the demand at the host. The limit's keeper, one of the
//! online processes, grants the shares. The modules are free of I/O. See `docs/design/limits.md`.

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
pub use scope::{LimitKind, Scope};
