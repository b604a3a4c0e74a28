//! Remembers which build of an upstream began a stream, so that the stream only goes on at that build. Does no I/O.
//!
//! Upstreams of several software versions may serve one service side by side, and what two of them write does not fit together.
//! A caller that resumes a stream comes back at any host, and names only the attempt that brought the first event. See
//! `docs/design/mixed-builds.md`.

pub mod choice;
pub mod history;
pub mod origin;
pub mod table;

pub use choice::{Choice, Evidence, Refusal};
pub use history::History;
pub use origin::{Key, Origin};
pub use table::{Answer, Table};

use std::time::Duration;

/// Time for which the origin of a stream is kept after its first event or its last refresh: the longest time that a stream lasts
/// without its caller, and that its caller takes to come back.
pub const RETENTION: Duration = Duration::from_secs(60);
