//! `tinbank-load compare`: ways of sharing engines between online and batch, side by side.

use std::{process::ExitCode, time::Duration};

use argh::FromArgs;
use tinbank_demo::{entry::Settings, example::Example, traffic};

use crate::compare::{self, Arm, Fault, Plan};

/// Longest time of one arm, so that load stays bounded.
const LONGEST_S: u64 = 300;
/// Most runs.
const MOST_RUNS: u32 = 20;
/// Headrooms that `--lean` tries, in per cent of the largest burst seen lately.
const HEADROOMS: [u16; 6] = [0, 25, 50, 100, 150, 200];

/// Run the arms one after the other with the same online traffic, and print their figures side by side.
///
/// The arms: online alone; naive (batch sent whenever a slot is free, no giving way); static (a fixed number of slots
/// kept for online); tinbank (credits). What each figure means is in docs/measurements.md.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "compare",
    example = "tinbank-load compare --example water-authority --seconds 20 --runs 1 --json",
    example = "tinbank-load compare --example oberland --runs 5 --fault engine",
    example = "tinbank-load compare --lean"
)]
pub struct Compare {
    /// which example runs: water-authority (default) or oberland
    #[argh(option, default = "String::from(\"water-authority\")")]
    example: String,
    /// seconds of traffic in each arm: 2 to 300, default 20
    #[argh(option, default = "20")]
    seconds: u64,
    /// runs; medians and spread are printed. Default 1
    #[argh(option, default = "1")]
    runs: u32,
    /// seed of the arrivals; each run adds one
    #[argh(option, default = "traffic::SEED")]
    seed: u64,
    /// slots that the static arm keeps for online. Default 2
    #[argh(option, default = "2")]
    kept: u16,
    /// per cent of the largest burst seen lately that tinbank keeps free; default: the example's
    #[argh(option)]
    headroom: Option<u16>,
    /// what fails from a quarter of the time to three quarters: host, engine, domain, log or datagrams
    #[argh(option)]
    fault: Option<Fault>,
    /// seconds that a fault lasts, in place of half the time
    #[argh(option)]
    fault_seconds: Option<u64>,
    /// tinbank at several headrooms in place of the arms
    #[argh(switch)]
    lean: bool,
    /// only the arms whose name begins so
    #[argh(option, default = "String::new()")]
    only: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Compare {
    pub(super) fn run(&self) -> ExitCode {
        let example = match Example::load(&self.example) {
            Ok(example) => example,
            Err(error) => return failed(&error.to_string()),
        };
        let arms = self.arms(Settings::of(&example).lean_percent);
        if arms.is_empty() {
            return failed("no arm begins so: they are online, naive, static and tinbank");
        }
        let lasting = Duration::from_secs(self.seconds.clamp(2, LONGEST_S));
        let plan = Plan {
            example,
            lasting,
            runs: self.runs.clamp(1, MOST_RUNS),
            seed: self.seed,
            fault: self.fault,
            fault_lasting: self
                .fault_seconds
                .map_or(lasting / 2, Duration::from_secs)
                .min(lasting * 3 / 4),
            arms,
        };
        let report = match compare::run(plan) {
            Ok(report) => report,
            Err(error) => return failed(&error.to_string()),
        };
        match serde_json::to_string_pretty(&report) {
            Ok(json) if self.json => println!("{json}"),
            _ => print!("{report}"),
        }
        ExitCode::SUCCESS
    }

    fn arms(&self, headroom: u16) -> Vec<Arm> {
        let arms = match self.lean {
            true => {
                let credits = HEADROOMS.map(|lean_percent| Arm::Tinbank { lean_percent });
                [Arm::Online].into_iter().chain(credits).collect()
            }
            false => vec![
                Arm::Online,
                Arm::Naive,
                Arm::Static { kept: self.kept },
                Arm::Tinbank {
                    lean_percent: self.headroom.unwrap_or(headroom),
                },
            ],
        };
        let wanted = |arm: &Arm| arm.name().starts_with(&self.only);
        arms.into_iter().filter(wanted).collect()
    }
}

fn failed(message: &str) -> ExitCode {
    eprintln!("tinbank-load compare: {message}");
    ExitCode::from(2)
}
