//! `tinbank customer`: one command one file.

mod diff;
mod list;
mod put;
mod show;

use argh::FromArgs;

use crate::{context::Context, error::Error, exit::Exit, output::Output};

/// Publishes and shows customers.
#[derive(FromArgs)]
#[argh(subcommand, name = "customer")]
pub struct Customer {
    /// what to do
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Diff(diff::Diff),
    List(list::List),
    Put(put::Put),
    Show(show::Show),
}

impl Customer {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        match self.command {
            Command::Diff(command) => command.run(context, output).await,
            Command::List(command) => command.run(context, output).await,
            Command::Put(command) => command.run(context, output).await,
            Command::Show(command) => command.run(context, output).await,
        }
    }
}
