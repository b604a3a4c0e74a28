//! The main function that all server binaries share.

use std::{future::Future, process::ExitCode};

use dropshot::{ApiDescription, ServerContext};
use tinbank_settings::{
    Schema,
    cli::{Arguments, Request, refuse},
    common::Common,
};

use crate::{
    logs, openapi,
    threads::{Handles, Threads},
};

/// Exit code of a server that could not start or ended badly.
pub const EXIT_FAILED: u8 = 1;

/// Does what the arguments ask for: describes the interface, checks the settings, or serves until told to stop.
///
/// `serve` starts the process, waits for [`crate::stop::signal`] and stops gracefully.
pub fn process<T, C, F, E>(
    title: &str,
    api: ApiDescription<C>,
    common: impl FnOnce(&T) -> &Common,
    serve: impl FnOnce(T, Handles) -> F,
) -> ExitCode
where
    T: Schema,
    C: ServerContext,
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let arguments: Arguments = argh::from_env();
    match arguments.resolve::<T>() {
        Err(error) => refuse(&error),
        Ok(Request::OpenApi) => describe(title, &api),
        Ok(Request::Checked(path)) => {
            println!("{}: no findings", path.display());
            ExitCode::SUCCESS
        }
        Ok(Request::Serve(settings)) => {
            let common = common(&settings);
            logs::start_at(logs::level(&common.log_level));
            let threads = Threads::start(common.traffic_threads);
            run(threads, |handles| serve(settings, handles))
        }
    }
}

fn run<F, E>(threads: std::io::Result<Threads>, serve: impl FnOnce(Handles) -> F) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let threads = match threads {
        Ok(threads) => threads,
        Err(error) => return failed(&error),
    };
    match threads.run(serve(threads.handles())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

fn failed(error: &impl std::fmt::Display) -> ExitCode {
    log::error!(reason = error.to_string().as_str(); "the process failed");
    ExitCode::from(EXIT_FAILED)
}

fn describe<C: ServerContext>(title: &str, api: &ApiDescription<C>) -> ExitCode {
    match openapi::describe(api, title) {
        Ok(json) => {
            println!("{json}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the interface can't be described: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
