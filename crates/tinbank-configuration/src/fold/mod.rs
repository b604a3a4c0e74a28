//! The fold of the configuration stream: the same verdict for each change on every host.
//!
//! [`State`] is the rule itself, [`Fold`] adds the start from a stream whose beginning is gone. See
//! `docs/design/configuration.md`.

pub mod checkpoint;
mod replay;
mod state;
mod verdict;
mod window;

pub use replay::Fold;
pub use state::State;
pub use verdict::{Judged, Verdict};
pub use window::WINDOW;
