//! `tinbank config history`.

use argh::FromArgs;
use jiff::Timestamp;
use serde::Serialize;
use tinbank_base::{id, record::config::Object};
use tinbank_configuration::{
    finding::Finding,
    fold::{Judged, Verdict},
};

use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    history::{self, Change},
    output::Output,
};

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
        let changes = history::read(log.as_ref()).await?;
        let rows: Vec<Row> = changes
            .into_iter()
            .filter(|change| self.wants(&change.judged))
            .map(row)
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
        match (&self.customer, &self.template, &judged.object) {
            (None, None, _) => true,
            (Some(customer), _, Object::Customer(name)) => customer == name,
            (_, Some(template), Object::Template(name)) => template == name,
            _ => false,
        }
    }
}

fn row(change: Change) -> Row {
    let Change { judged, time } = change;
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
