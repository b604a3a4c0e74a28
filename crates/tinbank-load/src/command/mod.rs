//! The commands of `tinbank-load`, one a file.

mod compare;
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
    Compare(compare::Compare),
    Slopes(slopes::Slopes),
}

/// Runs the command that was asked for.
pub fn run(arguments: &Arguments, allocated: Allocated) -> ExitCode {
    match &arguments.command {
        Command::Compare(compare) => compare.run(),
        Command::Slopes(slopes) => slopes.run(allocated),
    }
}
