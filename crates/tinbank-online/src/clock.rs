//! The clock that deadlines are held against.

use std::time::Instant;

/// Now, by tokio's clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
