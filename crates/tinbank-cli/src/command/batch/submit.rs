//! `tinbank batch submit`.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use argh::FromArgs;
use http::{Response, StatusCode, header};
use hyper::body::Incoming;
use indicatif::ProgressBar;
use jiff::Timestamp;
use serde::Deserialize;
use serde_json::Value;
use tinbank_base::{
    id,
    outcome::{Code, Failure, Ran},
};
use tinbank_server::caller;
use tokio::time;

use super::{input::Input, progress, status};
use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    output::Output,
    server::{self, Ask, Broken, Server, escape},
    when,
};

/// How long a submission is repeated before the command gives up, if nothing else is said.
const PATIENCE: Duration = Duration::from_secs(60);
/// Wait before the next try when the server names no time.
const PAUSE: Duration = Duration::from_secs(1);
/// Longest wait before the next try.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// How long one try may take: a sweep of 810,000 items is some 300 MB.
const TRY: Duration = Duration::from_secs(600);

/// Hands in a batch job: a line of JSON for each item, with `custom_id`, `body` and perhaps `repeatable`.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} --service logger-notes sweep.ndjson\n\
               {command_name} --service logger-notes --due 7h --wait sweep.ndjson\n\
               {command_name} --service logger-notes --key sweep-2026-12-02 -",
    note = "It draws an idempotency key, prints it before anything is sent, and repeats the submission under it when \
            an answer is lost. Repeating the command with the options that it \
            prints (the key, and the due time as it was then) gives the same job, never a second one. Input from \
            stdin is held in memory."
)]
pub struct Submit {
    /// file with the items, or - for stdin
    #[argh(positional)]
    file: String,
    /// name of the service
    #[argh(option)]
    service: String,
    /// the customer's batch stream that the job belongs to
    #[argh(option)]
    stream: Option<String>,
    /// when it is due: a time span from now such as 7h, or RFC 3339
    #[argh(option, from_str_fn(when::future))]
    due: Option<Timestamp>,
    /// idempotency key of an earlier try
    #[argh(option)]
    key: Option<String>,
    /// how long to go on trying, such as 2m
    #[argh(option, from_str_fn(when::span), default = "PATIENCE")]
    patience: Duration,
    /// wait until the job has ended
    #[argh(switch)]
    wait: bool,
}

/// What a try came to.
enum Tried {
    Accepted(Value),
    /// It is safe to try again, but not before the time, if one is named.
    Again {
        why: Error,
        at: Option<SystemTime>,
    },
    Final(Error),
}

/// The part of the answer that we need.
#[derive(Deserialize)]
struct Accepted {
    id: String,
}

impl Submit {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let input = Input::open(&self.file).await?;
        let key = self.key.clone().unwrap_or_else(draw_key);
        let ask = self.ask(&context.key()?, &key)?;
        let entries = context.batch()?;
        let repeat = self.repeat(&key);
        output.note(format!("to repeat it safely: {repeat}"));
        let submission = Submission {
            server: context.server(),
            entries,
            ask,
            input,
            until: Instant::now() + self.patience,
            bar: progress::upload(output.terminal),
        };
        let accepted = submission.run().await;
        submission.bar.finish_and_clear();
        let accepted = accepted.map_err(|error| with_repeat(error, &repeat))?;
        let job = id_of(&accepted)?;
        if self.wait {
            output.note(format!("job {job}"));
            return status::wait(&job, context, output).await;
        }
        if output.json {
            output.value(&accepted)?;
        } else {
            output.line(job)?;
        }
        Ok(Exit::Done)
    }

    /// The options under which a repeated command gives the same job. A time span from now would be another due time.
    fn repeat(&self, key: &str) -> String {
        match self.due {
            Some(due) => format!("--key {key} --due {due}"),
            None => format!("--key {key}"),
        }
    }

    fn ask(&self, key: &str, idempotency_key: &str) -> Result<Ask, Error> {
        let mut path = format!("/v1/batches?service={}", escape(&self.service));
        if let Some(due) = self.due {
            path.push_str(&format!("&due={}", escape(&due.to_string())));
        }
        let mut ask = Ask::post(path)
            .key(key)?
            .header(header::CONTENT_TYPE.as_str(), "application/x-ndjson")?
            .header(caller::IDEMPOTENCY_KEY, idempotency_key)?;
        if let Some(stream) = &self.stream {
            ask = ask.header(caller::STREAM, stream)?;
        }
        Ok(ask)
    }
}

struct Submission {
    server: Server,
    entries: Vec<SocketAddr>,
    ask: Ask,
    input: Input,
    until: Instant,
    bar: ProgressBar,
}

impl Submission {
    /// Tries one entry after another, round and round, until one gives a final answer or the time is up.
    async fn run(&self) -> Result<Value, Error> {
        let mut entries = self.entries.iter().cycle();
        loop {
            let Some(entry) = entries.next() else {
                return Err(server::unreachable(&[]));
            };
            let (why, at) = match self.attempt(*entry).await? {
                Tried::Accepted(accepted) => return Ok(accepted),
                Tried::Final(error) => return Err(error),
                Tried::Again { why, at } => (why, at),
            };
            let pause = pause(at);
            if Instant::now() + pause >= self.until {
                return Err(why);
            }
            time::sleep(pause).await;
        }
    }

    async fn attempt(&self, entry: SocketAddr) -> Result<Tried, Error> {
        let body = self.input.body(&self.bar).await?;
        let until = Instant::now() + TRY;
        Ok(
            match self.server.send(entry, &self.ask, body, until).await {
                Ok(response) => answered(response).await,
                Err(broken) => Tried::Again {
                    why: lost(entry, &broken),
                    at: None,
                },
            },
        )
    }
}

async fn answered(response: Response<Incoming>) -> Tried {
    let status = response.status();
    if status.is_success() {
        return match server::parse(response).await {
            Ok(accepted) => Tried::Accepted(accepted),
            Err(why) => Tried::Again { why, at: None },
        };
    }
    match server::failure(response).await {
        Ok(failure) if is_worth_repeating(&failure) => Tried::Again {
            why: Error::refused(&failure),
            at: failure.retry_at,
        },
        Ok(failure) => Tried::Final(Error::refused(&failure)),
        Err(text) if status == StatusCode::BAD_GATEWAY => Tried::Again {
            why: server::unexpected(status, &text),
            at: None,
        },
        Err(text) => Tried::Final(server::unexpected(status, &text)),
    }
}

/// Whether the same submission may be taken later. Under one idempotency key that is safe even if it has been.
fn is_worth_repeating(failure: &Failure) -> bool {
    match failure.code {
        Code::InProgress
        | Code::Overloaded
        | Code::LogUnavailable
        | Code::NotReady
        | Code::OutcomeUnknown
        | Code::Timeout => true,
        Code::LimitReached => failure.retry_at.is_some(),
        _ => failure.ran == Ran::Unknown,
    }
}

fn pause(at: Option<SystemTime>) -> Duration {
    let wanted = at.map(|at| at.duration_since(SystemTime::now()).unwrap_or_default());
    wanted.unwrap_or(PAUSE).clamp(PAUSE / 10, LONGEST_PAUSE)
}

fn lost(entry: SocketAddr, broken: &Broken) -> Error {
    let exit = match broken {
        Broken::Connect(_) => Exit::Unreachable,
        Broken::Lost(_) => Exit::Unknown,
    };
    Error::new(exit, broken.to_string()).at(entry.to_string())
}

fn with_repeat(error: Error, repeat: &str) -> Error {
    if error.exit == Exit::Input || error.exit == Exit::Missing {
        return error;
    }
    let repeat = format!("repeat it with {repeat}: it gives the same job, never a second one");
    let help = match &error.help {
        Some(help) => format!("{help}; {repeat}"),
        None => repeat,
    };
    error.help(help)
}

fn draw_key() -> String {
    id::format_wide(rand::random())
}

fn id_of(accepted: &Value) -> Result<String, Error> {
    let parsed = Accepted::deserialize(accepted);
    parsed.map(|accepted| accepted.id).map_err(|error| {
        Error::new(Exit::Unknown, format!("the answer names no job: {error}"))
            .help("see that the command line and the servers have the same version")
    })
}
