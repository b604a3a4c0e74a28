//! The `tinbank-demo` command.
//!
//! ```text
//! tinbank-demo                                the Water Authority's sweep with online traffic
//! tinbank-demo --example oberland --json      the other example, for machines
//! tinbank-demo --seconds 20                   shorter
//! ```

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;

use crate::{example::Example, run};

/// Longest time of traffic: with start and end the demo stays within two minutes.
const LONGEST: u64 = 70;

/// Runs a whole deployment in one process and counts what became of every request and item.
#[derive(Clone, Debug, FromArgs)]
pub struct Arguments {
    /// which example runs: water-authority (default) or oberland
    #[argh(option, default = "String::from(\"water-authority\")")]
    pub example: String,
    /// print the summary as one JSON object
    #[argh(switch)]
    pub json: bool,
    /// seconds of traffic, a third of it online alone: 3 to 70, default 45
    #[argh(option, default = "45")]
    pub seconds: u64,
}

/// Runs the command. The exit code is not 0 if anything was lost, doubled, failed or wrong.
pub fn run(arguments: &Arguments) -> ExitCode {
    let example = match Example::load(&arguments.example) {
        Ok(example) => example,
        Err(error) => return failed(&error.to_string()),
    };
    let lasting = Duration::from_secs(arguments.seconds.clamp(3, LONGEST));
    let summary = match run::run(example, lasting) {
        Ok(summary) => summary,
        Err(error) => return failed(&error.to_string()),
    };
    match serde_json::to_string(&summary) {
        Ok(json) if arguments.json => println!("{json}"),
        _ => println!("{summary}"),
    }
    match summary.clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn failed(message: &str) -> ExitCode {
    eprintln!("tinbank-demo: {message}");
    ExitCode::from(2)
}
