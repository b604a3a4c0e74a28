//! `tinbank-entry`: the program of an entry host, which serves online and batch inference in one process.

mod command;
mod logs;
mod metrics;
mod settings;
mod signals;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
