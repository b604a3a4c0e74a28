//! `tinbank batch status`.

use std::time::Duration;

use argh::FromArgs;
use indicatif::ProgressBar;
use serde::Deserialize;
use serde_json::Value;
use tokio::time;

use super::{job_path, progress};
use crate::{context::Context, error::Error, exit::Exit, output::Output, server::Ask};

/// Time between two questions while waiting.
const POLL: Duration = Duration::from_secs(1);

/// Shows how far a job is.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} 0197e0a1b2c3d4e5f60718293a4b5c6d\n\
               {command_name} --wait 0197e0a1b2c3d4e5f60718293a4b5c6d",
    note = "With --wait it ends with 8 if an item has failed or was cancelled."
)]
pub struct Status {
    /// id of the job
    #[argh(positional)]
    job: String,
    /// wait until the job has ended
    #[argh(switch)]
    wait: bool,
}

/// What `GET /v1/batches/{id}` tells, as far as we need it.
#[derive(Debug, Deserialize)]
struct Job {
    state: State,
    counts: Counts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Running,
    Completed,
    Cancelling,
    Cancelled,
}

#[derive(Debug, Deserialize)]
struct Counts {
    total: u64,
    pending: u64,
    answered: u64,
    failed: u64,
    cancelled: u64,
}

impl Status {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        if self.wait {
            return wait(&self.job, context, output).await;
        }
        let (value, job) = get(&self.job, context).await?;
        show(&self.job, &value, &job, output)?;
        Ok(Exit::Done)
    }
}

/// Waits until a job has ended, and shows how.
pub(super) async fn wait(
    id: &str,
    context: &mut Context,
    output: &mut Output,
) -> Result<Exit, Error> {
    let bar = progress::items(output.terminal);
    loop {
        let (value, job) = match get(id, context).await {
            Ok(answer) => answer,
            // A host may be away for a moment; the job goes on without us.
            Err(error) if matches!(error.exit, Exit::Unreachable | Exit::Refused) => {
                bar.set_message("no answer, asking again:");
                time::sleep(POLL).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        job.draw(&bar);
        if job.has_ended() {
            bar.finish_and_clear();
            show(id, &value, &job, output)?;
            return Ok(job.exit());
        }
        time::sleep(POLL).await;
    }
}

async fn get(id: &str, context: &mut Context) -> Result<(Value, Job), Error> {
    let ask = Ask::get(job_path(id)?).key(&context.key()?)?;
    let value: Value = context.server().json(&context.batch()?, &ask).await?;
    let job = Job::deserialize(&value).map_err(|error| {
        Error::new(Exit::Failed, format!("the answer can't be read: {error}"))
            .help("see that the command line and the servers have the same version")
    })?;
    Ok((value, job))
}

impl Job {
    fn has_ended(&self) -> bool {
        matches!(self.state, State::Completed | State::Cancelled)
    }

    fn exit(&self) -> Exit {
        match self.counts.failed + self.counts.cancelled {
            0 => Exit::Done,
            _ => Exit::Partial,
        }
    }

    fn draw(&self, bar: &ProgressBar) {
        bar.set_message(self.state.name());
        bar.set_length(self.counts.total);
        bar.set_position(self.counts.total - self.counts.pending.min(self.counts.total));
    }
}

impl State {
    fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Cancelling => "cancelling",
            Self::Cancelled => "cancelled",
        }
    }
}

fn show(id: &str, value: &Value, job: &Job, output: &mut Output) -> Result<(), Error> {
    if output.json {
        return output.value(value);
    }
    let Counts {
        total,
        pending,
        answered,
        failed,
        cancelled,
    } = &job.counts;
    let state = job.state.name();
    output.line(format!(
        "{id}: {state}, {total} items: {answered} answered, {failed} failed, {cancelled} cancelled, {pending} pending"
    ))
}
