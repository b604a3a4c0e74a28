//! `tinbank hosts`.

use argh::FromArgs;
use serde::Serialize;
use tinbank_base::id;

use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    output::Output,
    processes::{self, Process},
    server::{Ask, Server},
};

/// Lists the system's own processes: what their members believe of each, and what each says itself.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "hosts",
    example = "{command_name}",
    note = "It ends with 8 if a process did not answer."
)]
pub struct Hosts {}

/// One process, as JSON.
#[derive(Debug, Serialize)]
struct Row {
    process: id::Process,
    failure_domain: id::FailureDomain,
    http: std::net::SocketAddr,
    incarnation: Option<id::Incarnation>,
    health: Option<String>,
    phase: Option<String>,
    config: Option<id::Offset>,
    /// What it answers itself: `ready`, `starting`, `leaving`, or why it does not.
    says: String,
    answers: bool,
}

impl Hosts {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let processes = processes::find(context).await?;
        let rows = processes::ask_all(&context.server(), &processes, row).await;
        if output.json {
            output.value(&rows)?;
        } else {
            let head = [
                "process",
                "failure domain",
                "http",
                "health",
                "phase",
                "config",
                "says",
            ];
            let mut table = vec![head.map(str::to_owned).to_vec()];
            table.extend(rows.iter().map(cells));
            output.table(&table)?;
        }
        let whole = rows.iter().all(|row| row.answers);
        Ok(if whole { Exit::Done } else { Exit::Partial })
    }
}

#[derive(serde::Deserialize)]
struct Readiness {
    state: String,
}

async fn row(server: Server, process: Process) -> Row {
    let ready = readiness(&server, &process).await;
    let answers = ready.is_ok();
    let known = process.known;
    Row {
        process: process.process,
        failure_domain: process.failure_domain,
        http: process.http,
        incarnation: known.as_ref().map(|known| known.incarnation),
        config: known.as_ref().map(|known| known.config),
        health: known.as_ref().map(|known| known.health.clone()),
        phase: known.map(|known| known.phase),
        says: ready.unwrap_or_else(|reason| reason),
        answers,
    }
}

/// What the process says of itself; a process that isn't ready says so with an error status.
async fn readiness(server: &Server, process: &Process) -> Result<String, String> {
    let until = std::time::Instant::now() + crate::server::ANSWER_TIMEOUT;
    let body = tinbank_server::client::empty();
    let answer = server
        .send(process.http, &Ask::get("/readyz"), body, until)
        .await;
    let answer = answer.map_err(|broken| broken.to_string())?;
    let readiness: Readiness = crate::server::parse(answer)
        .await
        .map_err(|error| error.what)?;
    Ok(readiness.state)
}

fn cells(row: &Row) -> Vec<String> {
    let shown = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".to_owned());
    vec![
        row.process.to_string(),
        row.failure_domain.clone(),
        row.http.to_string(),
        shown(&row.health),
        shown(&row.phase),
        shown(&row.config.map(|config| config.to_string())),
        row.says.clone(),
    ]
}
