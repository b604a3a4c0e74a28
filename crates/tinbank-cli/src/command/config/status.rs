//! `tinbank config status`.

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use tinbank_base::{id, platform::log::Stream};

use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    output::Output,
    processes::{self, Process},
    server::{Ask, Server},
};

/// Shows which configuration is in force at each process, and whether any is behind the log.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name}",
    note = "`next` is the log offset that a process reads next: everything before it is in force. It ends with 8 if \
            a process did not answer or is behind."
)]
pub struct Status {}

#[derive(Serialize)]
struct Shown {
    /// Where the stream ends; `None` if the log can't be asked.
    tail: Option<id::Offset>,
    processes: Vec<Row>,
}

#[derive(Serialize)]
struct Row {
    process: id::Process,
    #[serde(flatten)]
    answer: Answer,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Answer {
    Known(Known),
    Unreachable { unreachable: String },
}

/// As `GET /configuration` shows it.
#[derive(Serialize, Deserialize)]
struct Known {
    offset: id::Offset,
    current: bool,
}

impl Status {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let shown = Shown {
            tail: tail(context).await,
            processes: ask(context).await?,
        };
        if output.json {
            output.value(&shown)?;
        } else {
            show(&shown, output)?;
        }
        let whole = shown.processes.iter().all(|row| row.is_at(shown.tail));
        Ok(if whole { Exit::Done } else { Exit::Partial })
    }
}

impl Row {
    fn is_at(&self, tail: Option<id::Offset>) -> bool {
        match &self.answer {
            Answer::Known(known) => known.current && tail.is_none_or(|tail| known.offset >= tail),
            Answer::Unreachable { .. } => false,
        }
    }
}

async fn tail(context: &mut Context) -> Option<id::Offset> {
    let log = context.log().ok()?;
    let bounds = log.bounds(Stream::Config).await.ok()?;
    Some(bounds.tail)
}

async fn ask(context: &mut Context) -> Result<Vec<Row>, Error> {
    let processes = processes::find(context).await?;
    Ok(processes::ask_all(&context.server(), &processes, ask_one).await)
}

async fn ask_one(server: Server, process: Process) -> Row {
    let answer = server
        .json_of::<Known>(process.http, &Ask::get("/configuration"))
        .await;
    let answer = match answer {
        Ok(known) => Answer::Known(known),
        Err(error) => Answer::Unreachable {
            unreachable: error.what,
        },
    };
    Row {
        process: process.process,
        answer,
    }
}

fn show(shown: &Shown, output: &mut Output) -> Result<(), Error> {
    match shown.tail {
        Some(tail) => output.line(format!("the log's configuration ends before {tail}"))?,
        None => output.note("the log can't be asked where the configuration ends"),
    }
    let mut rows = vec![["process", "next", "state"].map(str::to_owned).to_vec()];
    rows.extend(shown.processes.iter().map(|row| cells(row, shown.tail)));
    output.table(&rows)
}

fn cells(row: &Row, tail: Option<id::Offset>) -> Vec<String> {
    let (next, state) = match &row.answer {
        Answer::Unreachable { unreachable } => ("-".to_owned(), unreachable.clone()),
        Answer::Known(known) => {
            let state = match tail {
                _ if !known.current => "starting".to_owned(),
                Some(tail) if known.offset < tail => format!("{} behind", tail - known.offset),
                _ => "in force".to_owned(),
            };
            (known.offset.to_string(), state)
        }
    };
    vec![row.process.to_string(), next, state]
}
