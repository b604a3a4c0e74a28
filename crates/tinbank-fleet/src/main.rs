//! The `tinbank-fleet` program.

use std::process::ExitCode;

use tinbank_fleet::{Server, Settings, server};
use tinbank_process::{Error, Platform};
use tinbank_server::{start, stop, threads::Handles};

fn main() -> ExitCode {
    start::process(
        "tinbank fleet",
        server::describe(),
        |settings: &Settings| &settings.common,
        serve,
    )
}

async fn serve(settings: Settings, handles: Handles) -> Result<(), Error> {
    let platform = Platform::new(&settings.common);
    let server = Server::start_on(settings, platform, handles).await?;
    tokio::select! {
        () = stop::signal() => {}
        () = server.core().drained() => {}
    }
    server.stop().await;
    Ok(())
}
