//! `tinbank logs`.

use std::{path::Path, time::Duration};

use argh::FromArgs;
use jiff::Timestamp;
use serde::Serialize;
use tinbank_timeline::logs::{self, Line, Subject};

use crate::{error::Error, exit::Exit, object, output::Output};

/// Shows log lines of several hosts as one time line, all or those about one request, job, item, upstream or host.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "logs",
    example = "{command_name} host-1.log host-2.log --about 41bd25d7267582a9\n\
               {command_name} host-1.log host-2.log --about 8debfa2e58331197/3 --around 2000\n\
               {command_name} - --json",
    note = "A file holds the standard output of one host's tinbank-entry. The host is named by its line `started`, or \
            else by the name of the file. Lines that can't be read are counted and told; then it ends with 8."
)]
pub struct Logs {
    /// log files, or - for stdin
    #[argh(positional)]
    files: Vec<String>,
    /// only lines that name this request, job (or JOB/ITEM), upstream or host
    #[argh(option)]
    about: Option<String>,
    /// with --about: also what the hosts concerned came to believe so many milliseconds before and after
    #[argh(option, default = "0")]
    around: u64,
}

/// Lines that were read, and those that were not.
#[derive(Default, Serialize)]
struct Read {
    lines: Vec<Line>,
    unread: Vec<Unread>,
}

/// A line that can't be read.
#[derive(Serialize)]
struct Unread {
    place: String,
    why: String,
}

impl Logs {
    pub(crate) fn run(self, output: &mut Output) -> Result<Exit, Error> {
        if self.files.is_empty() {
            let error = Error::new(Exit::Input, "no log file is given");
            return Err(error.help("give the files, or - for stdin"));
        }
        let mut read = Read::default();
        for file in &self.files {
            take(&mut read, file, &object::read(file)?);
        }
        read.lines = logs::merge(read.lines);
        if let Some(subject) = self.subject() {
            read.lines = logs::select(read.lines, &subject);
        }
        show(&read, output)?;
        Ok(match read.unread.is_empty() {
            true => Exit::Done,
            false => Exit::Partial,
        })
    }

    fn subject(&self) -> Option<Subject> {
        let about = self.about.as_deref()?;
        let (id, item) = match about.split_once('/') {
            Some((id, item)) => (id, Some(item.to_owned())),
            None => (about, None),
        };
        Some(Subject {
            id: id.to_owned(),
            item,
            around: Duration::from_millis(self.around),
        })
    }
}

fn take(read: &mut Read, file: &str, text: &str) {
    let mut host = name(file);
    for (index, text) in text.lines().enumerate() {
        match Line::parse(&host, text) {
            Ok(mut line) => {
                if line.event == "started"
                    && let Some(named) = line.value("host")
                {
                    host = named.to_owned();
                    line.host.clone_from(&host);
                }
                read.lines.push(line);
            }
            Err(why) => read.unread.push(Unread {
                place: format!("{file}:{}", index + 1),
                why: why.to_string(),
            }),
        }
    }
}

/// The host that a file is of, until a line names it.
fn name(file: &str) -> String {
    let stem = Path::new(file).file_stem();
    stem.map_or_else(
        || file.to_owned(),
        |stem| stem.to_string_lossy().into_owned(),
    )
}

fn show(read: &Read, output: &mut Output) -> Result<(), Error> {
    if output.json {
        return output.value(read);
    }
    let width = read.lines.iter().map(|line| line.host.len()).max();
    for line in &read.lines {
        output.line(text(line, width.unwrap_or(0)))?;
    }
    for unread in &read.unread {
        output.note(format!("{}: {}", unread.place, unread.why));
    }
    Ok(())
}

fn text(line: &Line, width: usize) -> String {
    let at = Timestamp::try_from(line.at).map_or_else(
        |_| "(no time)".to_owned(),
        |at| at.strftime("%H:%M:%S.%3f").to_string(),
    );
    let mut text = format!("{at} {:<width$} {}", line.host, line.event);
    for pair in &line.pairs {
        text.push_str(&format!(" {}={}", pair.key, pair.value));
    }
    text
}
