//! `tinbank config`: one command one file.

mod history;
mod status;

use argh::FromArgs;

use crate::{context::Context, error::Error, exit::Exit, output::Output};

/// Shows the configuration as a whole.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {
    /// what to do
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    History(history::History),
    Status(status::Status),
}

impl Config {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        match self.command {
            Command::History(command) => command.run(context, output).await,
            Command::Status(command) => command.run(context, output).await,
        }
    }
}
