//! Counts customers' requests over all hosts and enforces their rate limits. Performs no I/O.
//!
//! Allocators do the counting: each request needs a slot from one anyway, so counting adds no round trip. They exchange
//! their counts, see [`Counter`]. A host that can't reach any allocator admits a small part of the limit, see
//! [`FallbackLimiter`]. Alternatives considered: `docs/design/customers.md`.

mod bucket;
pub mod counter;
pub mod counts;
pub mod fallback;
pub mod limit;
pub mod reach;

pub use counter::Counter;
pub use counts::Counts;
pub use fallback::FallbackLimiter;
pub use limit::{Limit, Tolerance};
pub use reach::Reachability;
