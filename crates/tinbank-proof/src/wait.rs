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
    let holds = || {
        let condition = condition();
        async { condition.await.then_some(()).ok_or_else(String::new) }
    };
    found(what, holds).await;
}

/// Tries until there is a value.
///
/// # Panics
/// There is none for very long; tells why the last try gave none.
pub async fn found<T, F: Future<Output = Result<T, String>>>(
    what: &str,
    mut attempt: impl FnMut() -> F,
) -> T {
    let until = Instant::now() + GIVE_UP;
    loop {
        match attempt().await {
            Ok(value) => return value,
            Err(reason) => assert!(Instant::now() < until, "never: {what} {reason}"),
        }
        tokio::time::sleep(LOOK).await;
    }
}
