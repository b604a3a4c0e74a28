//! The commands, one file each.

mod batch;
mod chat;
mod check;
mod config;
mod customer;
mod drain;
mod hosts;
mod logs;
mod template;
mod timeline;
mod upstreams;

use std::path::PathBuf;

use argh::FromArgs;

use crate::{context::Context, error::Error, exit::Exit, output::Output};

/// The command line of tinbank, for operators and callers.
#[derive(FromArgs)]
#[argh(
    note = "`--settings FILE` and `--json` go with every command and may stand anywhere on the line.\n\n\
            Exit codes: 0 done, 1 failed, 2 wrong input, 3 overtaken, 4 missing, 5 unreachable, 6 refused (not run), \
            7 outcome unknown, 8 partial; see docs/exit-codes.md."
)]
pub struct Tinbank {
    /// settings file; by default the one that TINBANK_SETTINGS names
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// results and errors as JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
#[non_exhaustive]
pub enum Command {
    /// Templates.
    Template(template::Template),
    /// Customers.
    Customer(customer::Customer),
    /// The configuration as a whole.
    Config(config::Config),
    /// Batch jobs.
    Batch(batch::Batch),
    /// One chat completion.
    Chat(chat::Chat),
    /// The time line.
    Timeline(timeline::Timeline),
    /// Log files.
    Logs(logs::Logs),
    /// The system's hosts.
    Hosts(hosts::Hosts),
    /// The upstreams.
    Upstreams(upstreams::Upstreams),
    /// Draining.
    Drain(drain::Drain),
    /// Checking files.
    Check(check::Check),
}

impl Command {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        match self {
            Self::Template(command) => command.run(context, output).await,
            Self::Customer(command) => command.run(context, output).await,
            Self::Config(command) => command.run(context, output).await,
            Self::Batch(command) => command.run(context, output).await,
            Self::Chat(command) => command.run(context, output).await,
            Self::Timeline(command) => command.run(context, output).await,
            Self::Logs(command) => command.run(output),
            Self::Hosts(command) => command.run(context, output).await,
            Self::Upstreams(command) => command.run(context, output).await,
            Self::Drain(command) => command.run(context, output).await,
            Self::Check(command) => command.run(output),
        }
    }
}
