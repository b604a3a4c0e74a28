//! Handling of process signals.

use tokio::signal::unix::{self, SignalKind};

/// Why a signal handler can't be installed.
#[derive(Debug, thiserror::Error)]
#[error("can't install signal handlers: {0}")]
pub struct Error(#[from] std::io::Error);

/// Returns a future that resolves on SIGTERM. SIGHUP is only logged, because settings can't be reloaded.
pub fn stop() -> Result<impl Future<Output = ()>, Error> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let mut reload = unix::signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = reload.recv() => log::info!("reload requested, but the settings of a running process can't be changed"),
            }
        }
    })
}
