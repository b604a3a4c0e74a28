//! `tinbank timeline`.

use std::{fs, path::PathBuf, time::SystemTime};

use argh::FromArgs;
use tinbank_base::id;
use tinbank_timeline::{
    Page, Query, merge,
    merge::{Answer, Timeline as Merged},
    query::Parameters,
    render,
};

use crate::{
    context::Context,
    error::Error,
    exit::Exit,
    output::Output,
    processes::{self, Process},
    server::{Ask, Server},
    when,
};

/// Shows what happened at all processes, a cause always before its effect.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} --request 0197e0a1b2c3d4e5f60718293a4b5c6d\n\
               {command_name} --item 0197e0a1b2c3d4e5f60718293a4b5c6d/17 --html item.html\n\
               {command_name} --host 3 --since 10m\n\
               {command_name} --since 2026-12-02T03:00:00Z --json",
    note = "Events that a full ring has dropped and processes that did not answer are shown as gaps; with an \
            unanswering process it ends with 8."
)]
pub struct Timeline {
    /// only events of this online request or attempt, by its `X-Request-Id`
    #[argh(option, from_str_fn(request))]
    request: Option<id::Request>,
    /// only events of this job, or of JOB/ITEM, the item counted from 0 in the order of the lines
    #[argh(option, from_str_fn(item))]
    item: Option<Work>,
    /// only events at this host's processes or about them
    #[argh(option)]
    host: Option<id::Host>,
    /// only events at or after this: a time span ago such as 10m, or RFC 3339
    #[argh(option, from_str_fn(when::past))]
    since: Option<SystemTime>,
    /// also write a page for browsers to this file
    #[argh(option)]
    html: Option<PathBuf>,
}

/// A job or an item of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Work {
    job: id::Job,
    item: Option<id::Item>,
}

impl Timeline {
    pub(crate) async fn run(
        self,
        context: &mut Context,
        output: &mut Output,
    ) -> Result<Exit, Error> {
        let timeline = self.collect(context).await?;
        if let Some(path) = &self.html {
            let page = render::page(&timeline, &self.title());
            write(path, &page)?;
            output.note(format!("wrote {}", path.display()));
        }
        if output.json {
            output.value(&timeline)?;
        } else if self.html.is_none() {
            output.raw(render::text(&timeline).as_bytes())?;
        }
        Ok(exit(&timeline))
    }

    async fn collect(&self, context: &mut Context) -> Result<Merged, Error> {
        let processes = processes::find(context).await?;
        let query = self.query();
        let server = context.server();
        let answers = processes::ask_all(&server, &processes, |server, process| {
            ask(server, process, query.clone())
        });
        Ok(merge(answers.await.into_iter().flatten().collect()))
    }

    fn query(&self) -> Query {
        Query {
            request: self.request,
            job: self.item.map(|work| work.job),
            item: self.item.and_then(|work| work.item),
            host: self.host,
            since: self.since,
            ..Query::default()
        }
    }

    fn title(&self) -> String {
        let mut title = "tinbank time line".to_owned();
        if let Some(request) = self.request {
            title.push_str(&format!(", request {}", id::format_wide(request)));
        }
        if let Some(work) = self.item {
            title.push_str(&format!(", job {}", id::format_wide(work.job)));
        }
        if let Some(item) = self.item.and_then(|work| work.item) {
            title.push_str(&format!(", item {item}"));
        }
        if let Some(host) = self.host {
            title.push_str(&format!(", host {host}"));
        }
        title
    }
}

/// All pages of one process. If it fails on the way, what it gave before counts as well as the failure.
async fn ask(server: Server, process: Process, mut query: Query) -> Vec<Answer> {
    let mut answers = Vec::new();
    loop {
        let path = format!("/timeline?{}", Parameters::from(&query));
        match server.json_of::<Page>(process.http, &Ask::get(path)).await {
            Ok(page) if page.events.len() < query.limit() => {
                answers.push(Answer::Page(page));
                return answers;
            }
            Ok(page) => {
                query.from = page.next;
                answers.push(Answer::Page(page));
            }
            Err(error) => {
                answers.push(Answer::Unreachable {
                    process: process.process,
                    reason: error.what,
                });
                return answers;
            }
        }
    }
}

fn exit(timeline: &Merged) -> Exit {
    let unreachable = timeline
        .gaps
        .iter()
        .any(|gap| matches!(gap.cause, merge::Cause::Unreachable { .. }));
    if unreachable {
        Exit::Partial
    } else {
        Exit::Done
    }
}

fn write(path: &PathBuf, page: &str) -> Result<(), Error> {
    fs::write(path, page).map_err(|error| {
        Error::new(Exit::Failed, format!("can't write the page: {error}"))
            .at(path.display().to_string())
    })
}

fn request(text: &str) -> Result<id::Request, String> {
    // Dropshot writes its request ids with hyphens.
    id::parse_wide(&text.replace('-', "")).ok_or_else(|| wrong(text))
}

fn item(text: &str) -> Result<Work, String> {
    let (job, item) = match text.split_once('/') {
        Some((job, item)) => (job, Some(item)),
        None => (text, None),
    };
    let job = id::parse_wide(job).ok_or_else(|| wrong(job))?;
    let item = item
        .map(|item| {
            item.parse()
                .map_err(|_| format!("`{item}` is no item: give its number, from 0"))
        })
        .transpose()?;
    Ok(Work { job, item })
}

fn wrong(text: &str) -> String {
    format!("`{text}` is no id: give 32 hexadecimal digits")
}
