//! The command line of operators and callers.
//!
//! Every command is one file under [`command`], with its usage, help and examples beside the code. [`run`] is the
//! whole program without the process around it, so that tests use the same code. Exit codes stand in
//! `docs/exit-codes.md`.

pub mod command;
mod configuration;
mod context;
pub mod error;
pub mod exit;
pub mod global;
mod history;
mod object;
pub mod output;
mod processes;
mod server;
pub mod settings;
mod sse;
mod when;

use std::{env, process::ExitCode};

use argh::FromArgs as _;
use tokio::runtime;

use crate::{command::Tinbank, context::Context, exit::Exit, output::Output};
pub use error::Error;

/// Name of the program in help texts.
pub const NAME: &str = "tinbank";

/// Runs the program on the arguments and streams of this process.
pub fn main() -> ExitCode {
    let arguments: Vec<String> = env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let mut output = Output::stdio();
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let exit = match runtime {
        Ok(runtime) => runtime.block_on(run(&arguments, &mut output)),
        Err(error) => output.fail(&Error::new(Exit::Failed, format!("can't start: {error}"))),
    };
    // A reader of stdin may still block a thread; the exit code must not wait for it.
    std::process::exit(i32::from(exit.code()))
}

/// Runs one command line, without the program's name in front.
pub async fn run(arguments: &[String], output: &mut Output) -> Exit {
    let arguments = global::hoist(arguments);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let tinbank = match Tinbank::from_args(&[NAME], &arguments) {
        Ok(tinbank) => tinbank,
        Err(early) => return output.early(&early),
    };
    output.json = tinbank.json;
    let mut context = Context::new(tinbank.settings);
    match tinbank.command.run(&mut context, output).await {
        Ok(exit) => exit,
        Err(error) => output.fail(&error),
    }
}
