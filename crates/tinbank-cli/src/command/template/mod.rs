//! `tinbank template`: one command one file.

mod list;
mod put;
mod show;

use argh::FromArgs;

use crate::{context::Context, error::Error, exit::Exit, output::Output};

/// Publishes and shows templates, which customers are made from.
#[derive(FromArgs)]
#[argh(subcommand, name = "template")]
pub struct Template {
    /// what to do
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(list::List),
    Put(put::Put),
    Show(show::Show),
}

impl Template {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        match self.command {
            Command::List(command) => command.run(context, output).await,
            Command::Put(command) => command.run(context, output).await,
            Command::Show(command) => command.run(context, output).await,
        }
    }
}
