//! Allocates the slots of upstreams to hosts, online requests before batch items.
//!
//! Upstreams do not prioritize, so a request that queues inside one delays every request behind it. One host per failure
//! domain, the allocator, therefore decides which requests may start at which upstream. All of its state is soft: a lost
//! or duplicate allocator reduces throughput but never correctness. See `docs/design/users-platform.md`.

pub mod admission;
pub mod allocator;
pub mod avoidance;
pub mod cause;
mod counting;
pub mod directory;
mod entries;
mod entry;
pub mod frame;
mod grants;
mod health;
pub mod home;
pub mod lease;
pub mod leaving;
pub mod memory;
pub mod options;
pub mod order;
pub mod pace;
pub mod placement;
pub mod prefix;
pub mod room;
pub mod size;
pub mod slow_start;
pub mod smoothed_duration;
pub mod vacancy;
mod waiting;
pub mod withdrawal;

pub use allocator::Allocator;
pub use directory::Directory;
pub use options::Options;
