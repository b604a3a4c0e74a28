//! Folds the configuration stream into a state. Every host reaches the same verdict on each change.
//!
//! [`State`] judges changes; [`Fold`] adds recovery from checkpoints when the beginning of the stream was trimmed. See
//! `docs/design/configuration.md`.

pub mod checkpoint;
mod replay;
mod state;
mod verdict;
mod window;

pub use replay::Fold;
pub use state::State;
pub use verdict::{Judged, Verdict};
pub use window::WINDOW_OFFSETS;
