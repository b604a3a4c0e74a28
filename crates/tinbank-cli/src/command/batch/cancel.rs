//! `tinbank batch cancel`.

use argh::FromArgs;
use serde_json::Value;

use super::job_path;
use crate::{context::Context, error::Error, exit::Exit, output::Output, server::Ask};

/// Stops a job: items that have not ended by then never count. Safe to repeat.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "cancel",
    example = "{command_name} 0197e0a1b2c3d4e5f60718293a4b5c6d"
)]
pub struct Cancel {
    /// id of the job
    #[argh(positional)]
    job: String,
}

impl Cancel {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let path = format!("{}/cancel", job_path(&self.job)?);
        let ask = Ask::post(path).key(&context.key()?)?;
        let answer: Value = context.server().json(&context.batch()?, &ask).await?;
        if output.json {
            output.value(&answer)?;
        } else {
            output.line(format!("{}: cancelled", self.job))?;
        }
        Ok(Exit::Done)
    }
}
