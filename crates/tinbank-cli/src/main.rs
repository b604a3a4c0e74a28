//! The `tinbank` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    tinbank_cli::main()
}
