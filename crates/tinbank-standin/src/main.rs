//! The `tinbank-standin` program.

use std::process::ExitCode;

use tinbank_standin::command;

fn main() -> ExitCode {
    command::run(&argh::from_env())
}
