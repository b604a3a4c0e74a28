//! `tinbank batch`: one command one file.

mod cancel;
mod input;
mod progress;
mod results;
mod status;
mod submit;

use argh::FromArgs;
use tinbank_base::id;

use crate::{context::Context, error::Error, exit::Exit, output::Output};

/// Hands in batch jobs, and follows, reads and stops them.
#[derive(FromArgs)]
#[argh(subcommand, name = "batch")]
pub struct Batch {
    /// what to do
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Cancel(cancel::Cancel),
    Results(results::Results),
    Status(status::Status),
    Submit(submit::Submit),
}

impl Batch {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        match self.command {
            Command::Cancel(command) => command.run(context, output).await,
            Command::Results(command) => command.run(context, output).await,
            Command::Status(command) => command.run(context, output).await,
            Command::Submit(command) => command.run(context, output).await,
        }
    }
}

/// Path of a job.
fn job_path(job: &str) -> Result<String, Error> {
    if id::parse_wide(job).is_some() {
        return Ok(format!("/v1/batches/{job}"));
    }
    let what = format!("`{job}` is no job");
    Err(Error::new(Exit::Input, what)
        .help("give the 32 hexadecimal digits that `batch submit` printed"))
}
