//! Signals of the platform.

use tokio::signal::unix::{self, SignalKind};

/// Signals can't be waited for.
#[derive(Debug, thiserror::Error)]
#[error("can't wait for signals: {0}")]
pub struct Error(#[from] std::io::Error);

/// Waits for the signal to stop. A signal to reload changes nothing that runs, and is only noted.
pub fn stop() -> Result<impl Future<Output = ()>, Error> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let mut reload = unix::signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = reload.recv() => log::info!("reload asked, the settings of a running process stay as they are"),
            }
        }
    })
}
