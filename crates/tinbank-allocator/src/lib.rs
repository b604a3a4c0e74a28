//! Deals the slots of upstreams out to hosts, online requests before batch items.
//!
//! Upstreams know no priorities, so what waits inside one delays every request behind it. Therefore one host of each
//! failure domain, the allocator, says who may start a request at which upstream. All of it is soft state: a lost or
//! doubled allocator costs speed, never correctness. See `docs/design/users-platform.md`.

pub mod admission;
pub mod allocator;
pub mod avoidance;
pub mod directory;
mod entries;
mod entry;
pub mod frame;
mod grants;
mod health;
pub mod lease;
pub mod smoothed_duration;
pub mod slow_start;
mod waiting;

pub use allocator::Allocator;
pub use directory::Directory;
