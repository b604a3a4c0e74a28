//! The `tinbank-online` program.

use std::process::ExitCode;

use tinbank_online::{Platform, Server, Settings, api};
use tinbank_server::{start, stop, threads::Handles};

fn main() -> ExitCode {
    start::process(
        "tinbank online",
        api::describe(),
        |settings: &Settings| &settings.common,
        serve,
    )
}

async fn serve(settings: Settings, handles: Handles) -> Result<(), tinbank_online::server::Error> {
    let platform = Platform::new(&settings.common);
    let server = Server::start_on(settings, platform, handles).await?;
    tokio::select! {
        () = stop::signal() => {}
        () = server.drained() => {}
    }
    server.stop().await;
    Ok(())
}
