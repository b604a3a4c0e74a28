//! Waits for conditions. How long that takes proves nothing; only giving up does.

use std::{future::Future, time::Duration};

use tokio::time::Instant;

/// When a condition is taken to never hold: much longer than it takes on a busy machine.
const GIVE_UP: Duration = Duration::from_secs(60);
/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// Waits until a condition holds.
///
/// # Panics
/// It does not hold for very long.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let until = Instant::now() + GIVE_UP;
    while !condition().await {
        assert!(Instant::now() < until, "never: {what}");
        tokio::time::sleep(LOOK).await;
    }
}
