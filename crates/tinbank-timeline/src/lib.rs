//! The time line: typed events in a bounded ring, merged over all processes into one causal order and drawn as text, JSON or a page.
//!
//! Each process holds a [`Recorder`]. Operators' tools ask every process for a [`Page`], [`merge`] them and
//! [`render`] the result. Where there is nobody to ask, [`logs`] makes a time line of log lines. See `docs/design/timeline.md` for why it is done this way.

pub mod logs;
pub mod merge;
pub mod page;
pub mod query;
pub mod recorder;
pub mod render;
mod ring;

pub use merge::merge;
pub use page::Page;
pub use query::Query;
pub use recorder::Recorder;
