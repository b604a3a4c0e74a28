//! `tinbank-load slopes`: how cost grows with size, the base of docs/CAPACITY.md.

use std::process::ExitCode;

use argh::FromArgs;

use crate::slopes::{self, Allocated, Series};

/// Measure how processor time, bytes and messages grow with size, and fit a line to each.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "slopes",
    example = "tinbank-load slopes --json",
    example = "tinbank-load slopes --only ledger"
)]
pub struct Slopes {
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// only the series whose name begins so
    #[argh(option, default = "String::new()")]
    only: String,
}

impl Slopes {
    pub(super) fn run(&self, allocated: Allocated) -> ExitCode {
        let series = slopes::measure(&self.only, allocated);
        if series.is_empty() {
            eprintln!(
                "no series begins with {:?}; without --only all are measured",
                self.only
            );
            return ExitCode::FAILURE;
        }
        if self.json {
            return print_json(&series);
        }
        for one in &series {
            println!("{one}");
        }
        ExitCode::SUCCESS
    }
}

fn print_json(series: &[Series]) -> ExitCode {
    match serde_json::to_string_pretty(series) {
        Ok(json) => {
            println!("{json}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the figures can't be written: {error}");
            ExitCode::FAILURE
        }
    }
}
