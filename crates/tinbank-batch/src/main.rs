//! The `tinbank-batch` program.

use std::process::ExitCode;

use tinbank_batch::{Platform, Server, Settings, http};
use tinbank_process::Error;
use tinbank_server::{start, stop, threads::Handles};

fn main() -> ExitCode {
    start::process(
        "tinbank batch",
        http::api(),
        |settings: &Settings| &settings.common,
        serve,
    )
}

async fn serve(settings: Settings, handles: Handles) -> Result<(), Error> {
    let platform = Platform::new(&settings.common);
    let server = Server::start_on(settings, platform, handles).await?;
    tokio::select! {
        () = stop::signal() => {}
        () = server.drained() => {}
    }
    server.stop().await;
    Ok(())
}
