//! The clock that deadlines are compared with.

use std::time::Instant;

/// Returns the current time of tokio's clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
