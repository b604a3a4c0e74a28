//! The `tinbank-demo` program.

use std::process::ExitCode;

use tinbank_demo::command;

fn main() -> ExitCode {
    command::run(&argh::from_env())
}
