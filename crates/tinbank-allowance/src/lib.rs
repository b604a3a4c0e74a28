//! Counts what customers send over all hosts together, and says who is above its limit. Pure.
//!
//! The hosts that deal out slots count: each request asks one of them anyway, so the count costs no round trip. They tell
//! each other what they let in, see [`Counter`]. A host that reaches none of them has a small part of its own, see [`FallbackLimiter`].
//! Ways that were weighed: `docs/design/customers.md`.

mod bucket;
pub mod counter;
pub mod counts;
pub mod limit;
pub mod fallback;
pub mod reach;

pub use counter::Counter;
pub use counts::Counts;
pub use limit::{Limit, Tolerance};
pub use fallback::FallbackLimiter;
pub use reach::Reach;
