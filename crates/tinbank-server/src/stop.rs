//! The signal to stop.

use tokio::signal::unix::{Signal, SignalKind, signal as unix};

/// Waits for SIGTERM or ctrl-c, whichever comes first.
///
/// Where a handler can't be installed it is logged, and that signal keeps its default effect.
pub async fn signal() {
    let (terminate, interrupt) = (SignalKind::terminate(), SignalKind::interrupt());
    tokio::select! {
        () = wait("SIGTERM", unix(terminate)) => {}
        () = wait("SIGINT", unix(interrupt)) => {}
    }
}

async fn wait(name: &'static str, installed: std::io::Result<Signal>) {
    match installed {
        Ok(mut signal) => {
            signal.recv().await;
            log::info!(signal = name; "asked to stop");
        }
        Err(error) => {
            log::error!(signal = name, reason = error.to_string().as_str(); "no signal handler");
            std::future::pending().await
        }
    }
}
