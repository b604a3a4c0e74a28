//! The command line.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::{logs, metrics, settings, signals};

/// Exit code of a process that was told to stop.
const STOPPED: u8 = 0;
/// Exit code where the process could not start; see `docs/exit-codes.md`.
const NOT_STARTED: u8 = 1;
/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

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

/// Runs the program and says how it ended.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return ExitCode::from(STOPPED);
    }
    let _flush = logs::start();
    let metrics = metrics::start();
    let platform = tinbank_adapter::platform(&settings.store);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(async {
            let stop = signals::stop().map_err(|error| error.to_string())?;
            let ended = tinbank_gateway::run(settings, platform, metrics, stop).await;
            ended.map_err(|error| error.to_string())
        }),
        Err(error) => Err(format!("can't start the runtime: {error}")),
    };
    match ended {
        Ok(()) => ExitCode::from(STOPPED),
        Err(error) => {
            log::error!(error:%; "not started");
            ExitCode::from(NOT_STARTED)
        }
    }
}
