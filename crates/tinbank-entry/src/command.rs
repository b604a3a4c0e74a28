//! The command line.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::{logs, metrics, settings, signals};

/// Exit code after a requested stop or a successful check. All exit codes are listed in `docs/exit-codes.md`.
const SUCCESS: u8 = 0;
/// Exit code of a process that could not start.
const START_FAILED: u8 = 1;
/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// Run online and batch inference on one entry host.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// path of the settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Runs the program and returns its exit code.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return ExitCode::from(SUCCESS);
    }
    let _flush = logs::start();
    let metrics = metrics::start();
    let platform = tinbank_adapter::platform(&settings.store);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(async {
            let stop = signals::stop().map_err(|error| error.to_string())?;
            let result = tinbank_gateway::run(settings, platform, metrics, stop).await;
            result.map_err(|error| error.to_string())
        }),
        Err(error) => Err(format!("can't start the async runtime: {error}")),
    };
    match result {
        Ok(()) => ExitCode::from(SUCCESS),
        Err(error) => {
            log::error!(error:%; "not started");
            ExitCode::from(START_FAILED)
        }
    }
}
