//! The `tinbank-standin` command.
//!
//! ```text
//! tinbank-standin examples/standin.jsonc           serve till SIGTERM or ctrl-c
//! tinbank-standin examples/standin.jsonc --check   only check the settings
//! ```

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use tinbank_server::{logs, stop};
use tinbank_settings::cli::EXIT_SETTINGS;

use crate::{Error, Settings, Standin, service::Service};

/// Stands in for the platform: log, host list, weight store, engines and plain services.
#[derive(Clone, Debug, FromArgs)]
pub struct Arguments {
    /// settings file, in JSON with comments
    #[argh(positional)]
    pub settings: PathBuf,
    /// only check the settings file and show all findings
    #[argh(switch)]
    pub check: bool,
}

/// Runs the command and returns its exit code: 2 for refused settings, 1 if it can't serve.
pub fn run(arguments: &Arguments) -> ExitCode {
    let settings = match tinbank_settings::load::<Settings>(&arguments.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: no findings", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    logs::start();
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: Settings) -> Result<(), String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let served = runtime.block_on(serve_until_stopped(settings));
    served.map_err(|error| error.to_string())
}

async fn serve_until_stopped(settings: Settings) -> Result<(), Error> {
    let standin = Standin::start(settings).await?;
    announce(&standin);
    stop::signal().await;
    standin.stop().await;
    Ok(())
}

fn announce(standin: &Standin) {
    log::info!(service = "admin", address:% = standin.admin(); "listening");
    let platform = [standin.log(), standin.hosts(), standin.weights()];
    let upstreams = standin.engines().iter().chain(standin.plain());
    for Service { name, address, .. } in platform.into_iter().flatten().chain(upstreams) {
        log::info!(service = name.as_str(), address:% = address; "listening");
    }
}
