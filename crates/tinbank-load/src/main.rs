//! The `tinbank-load` program.

use std::process::ExitCode;

use peak_alloc::PeakAlloc;
use tinbank_load::command::{self, Arguments};

/// Counts the bytes allocated, so that state can be weighed.
#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    command::run(&arguments, &|| ALLOCATED.current_usage())
}
