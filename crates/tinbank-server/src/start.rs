//! The main function that all server binaries share.

use std::{
    fmt,
    future::Future,
    io::{self, Write as _},
    process::ExitCode,
};

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

/// Does what the command line asks for; see [`run`]. An interface that can't be built is a fault of ours, and fails.
pub fn process<T, C, F, E>(
    title: &str,
    api: Result<ApiDescription<C>, impl fmt::Display>,
    common: impl FnOnce(&T) -> &Common,
    serve: impl FnOnce(T, Handles) -> F,
) -> ExitCode
where
    T: Schema,
    C: ServerContext,
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    match api {
        Ok(api) => run(argh::from_env(), title, api, common, serve),
        Err(error) => complain(&format!("the interface can't be built: {error}")),
    }
}

/// Does what the arguments ask for: describes the interface, checks the settings, or serves until told to stop.
///
/// `serve` starts the process, waits for [`crate::stop::signal`] and stops gracefully. The exit code is 0 after that,
/// [`EXIT_FAILED`] when it failed, and [`tinbank_settings::cli::EXIT_SETTINGS`] when the settings are refused.
pub fn run<T, C, F, E>(
    arguments: Arguments,
    title: &str,
    api: ApiDescription<C>,
    common: impl FnOnce(&T) -> &Common,
    serve: impl FnOnce(T, Handles) -> F,
) -> ExitCode
where
    T: Schema,
    C: ServerContext,
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    match arguments.resolve::<T>() {
        Err(error) => refuse(&error),
        Ok(Request::OpenApi) => describe(title, &api),
        Ok(Request::Checked(path)) => print(&format!("{}: no findings", path.display())),
        Ok(Request::Serve(settings)) => {
            let common = common(&settings);
            logs::start_at(logs::level(&common.log_level));
            let threads = Threads::start(common.traffic_threads);
            on(threads, |handles| serve(settings, handles))
        }
    }
}

fn on<F, E>(threads: io::Result<Threads>, serve: impl FnOnce(Handles) -> F) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
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

fn failed(error: &impl fmt::Display) -> ExitCode {
    log::error!(reason = error.to_string().as_str(); "the process failed");
    ExitCode::from(EXIT_FAILED)
}

fn describe<C: ServerContext>(title: &str, api: &ApiDescription<C>) -> ExitCode {
    match openapi::describe(api, title) {
        Ok(json) => print(&json),
        Err(error) => complain(&format!("the interface can't be described: {error}")),
    }
}

/// Writes to stdout. A reader that has seen enough and closed the pipe is no failure.
fn print(text: &str) -> ExitCode {
    match writeln!(io::stdout(), "{text}") {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            complain(&format!("stdout can't be written: {error}"))
        }
        _ => ExitCode::SUCCESS,
    }
}

fn complain(text: &str) -> ExitCode {
    // Where stderr is closed nobody reads it; the exit code still says it.
    let _ = writeln!(io::stderr(), "{text}");
    ExitCode::from(EXIT_FAILED)
}
