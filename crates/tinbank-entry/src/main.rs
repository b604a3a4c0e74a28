//! `tinbank-entry`: the program of an entry host. It runs online and batch in one process.

mod command;
mod logs;
mod metrics;
mod settings;
mod signals;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
