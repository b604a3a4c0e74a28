//! `tinbank config history`.

use std::time::Instant;

use argh::FromArgs;
use jiff::Timestamp;
use serde::Serialize;
use tinbank_base::{
    id,
    platform::log::{Entry, Log, Stream},
    record::{Envelope, config::Record},
};
use tinbank_configuration::{
    finding::Finding,
    fold::{Fold, Judged, Verdict},
};

use crate::{context::Context, error::Error, exit::Exit, output::Output};

/// About how many bytes one read of the log brings.
const PAGE_BYTES: usize = 1 << 20;

/// Shows all changes that the log still holds, also those that were refused.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "history",
    example = "{command_name}\n{command_name} --customer moreton-basin\n{command_name} --template water-utility --json"
)]
pub struct History {
    /// only changes of this customer
    #[argh(option)]
    customer: Option<String>,
    /// only changes of this template
    #[argh(option)]
    template: Option<String>,
}

/// One change, as JSON.
#[derive(Serialize)]
struct Row {
    offset: id::Offset,
    time: Option<Timestamp>,
    author: String,
    object: String,
    verdict: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    overtaken_by: Option<String>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    findings: Vec<Finding>,
}

impl History {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let log = context.log()?;
        let changes = read(log.as_ref()).await?;
        let rows: Vec<Row> = changes
            .into_iter()
            .filter(|(judged, _)| self.wants(judged))
            .map(|(judged, time)| row(judged, time))
            .collect();
        if output.json {
            output.value(&rows)?;
            return Ok(Exit::Done);
        }
        let head = ["offset", "time", "author", "object", "verdict"];
        let mut table = vec![head.map(str::to_owned).to_vec()];
        table.extend(rows.iter().map(cells));
        output.table(&table)?;
        Ok(Exit::Done)
    }

    fn wants(&self, judged: &Judged) -> bool {
        use tinbank_base::record::config::Object;
        match (&self.customer, &self.template, &judged.object) {
            (None, None, _) => true,
            (Some(customer), _, Object::Customer(name)) => customer == name,
            (_, Some(template), Object::Template(name)) => template == name,
            _ => false,
        }
    }
}

/// All changes with their verdicts and times, read from the oldest record that the log keeps.
async fn read(log: &dyn Log) -> Result<Vec<(Judged, Option<Timestamp>)>, Error> {
    let bounds = log
        .bounds(Stream::Config)
        .await
        .map_err(|error| unread(&error))?;
    let mut fold = Fold::default();
    if bounds.first > 0 {
        fold.trimmed(bounds.first);
    }
    let mut changes = Vec::new();
    let mut next = bounds.first;
    while next < bounds.tail {
        let page = log
            .read(Stream::Config, next, PAGE_BYTES, Instant::now())
            .await;
        let page = page.map_err(|error| unread(&error))?;
        if page.next <= next {
            break;
        }
        for entry in &page.entries {
            let time = time(entry);
            changes.extend(fold.take(entry).into_iter().map(|judged| (judged, time)));
        }
        next = page.next;
    }
    Ok(changes)
}

fn unread(error: &tinbank_base::platform::log::Error) -> Error {
    Error::new(
        Exit::Unreachable,
        format!("the configuration can't be read: {error}"),
    )
    .help("see that `log` in the settings is right and the log is reachable, then repeat")
}

fn time(entry: &Entry) -> Option<Timestamp> {
    let envelope = Envelope::<Record>::decode(&entry.payload).ok()?;
    Timestamp::try_from(envelope.stamp.time()).ok()
}

fn row(judged: Judged, time: Option<Timestamp>) -> Row {
    let (verdict, overtaken_by, findings) = match judged.verdict {
        Verdict::Accepted { .. } => ("accepted", None, Vec::new()),
        Verdict::Overtaken { by, .. } => ("overtaken", by, Vec::new()),
        Verdict::Invalid { findings } => ("invalid", None, findings),
        Verdict::Copy => ("copy", None, Vec::new()),
    };
    Row {
        offset: judged.offset,
        time,
        author: judged.author,
        object: judged.object.to_string(),
        verdict,
        overtaken_by,
        findings,
    }
}

fn cells(row: &Row) -> Vec<String> {
    let verdict = match (&row.overtaken_by, row.findings.first()) {
        (Some(by), _) => format!("{} by {by}", row.verdict),
        (None, Some(finding)) => format!("{}: {finding}", row.verdict),
        (None, None) => row.verdict.to_owned(),
    };
    vec![
        row.offset.to_string(),
        row.time
            .map_or_else(|| "-".to_owned(), |time| format!("{time:.0}")),
        row.author.clone(),
        row.object.clone(),
        verdict,
    ]
}
