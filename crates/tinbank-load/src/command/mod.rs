//! The commands of `tinbank-load`, one a file.

mod slopes;

use std::process::ExitCode;

use argh::FromArgs;

use crate::slopes::Allocated;

/// Measures tinbank on this machine: load on loopback only, bounded in count and time.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Slopes(slopes::Slopes),
}

/// Runs the command that was asked for.
pub fn run(arguments: &Arguments, allocated: Allocated) -> ExitCode {
    match &arguments.command {
        Command::Slopes(slopes) => slopes.run(allocated),
    }
}
