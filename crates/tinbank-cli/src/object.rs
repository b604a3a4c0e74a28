//! What the commands for templates and customers have in common.

use std::{fs, io::Read as _, path::Path};

use serde::Serialize;
use similar::TextDiff;
use tinbank_base::platform::log::Entry;
use tinbank_base::{
    clock::Stamp,
    id,
    record::{
        Envelope, Writer,
        config::{Object, Put, Record},
    },
};
use tinbank_configuration::fold::{State, Verdict};

use crate::{
    configuration::{self, Base, Change, Configuration},
    context::Context,
    error::Error,
    exit::Exit,
    output::Output,
};

/// Longest text that is read, in bytes; the log's fold refuses much shorter ones.
const MAX_TEXT: u64 = 4 << 20;
/// Lines of context in a diff.
const DIFF_CONTEXT: usize = 3;

/// How a change is to be published.
#[derive(Clone, Debug)]
pub(crate) struct Publish {
    pub(crate) object: Object,
    pub(crate) file: String,
    pub(crate) base: Option<id::Revision>,
    pub(crate) new: bool,
    pub(crate) change: Option<String>,
}

/// A published change, as JSON.
#[derive(Serialize)]
struct Published {
    object: String,
    revision: id::Revision,
}

/// One object, as JSON.
#[derive(Serialize)]
struct Shown<'a> {
    object: String,
    revision: id::Revision,
    author: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<&'a str>,
}

/// What a change would do, as JSON.
#[derive(Serialize)]
struct Trial<'a> {
    object: String,
    base: Option<id::Revision>,
    accepted: bool,
    diff: &'a str,
}

pub(crate) async fn put(
    publish: Publish,
    context: &mut Context,
    output: &mut Output,
) -> Result<Exit, Error> {
    let body = read(&publish.file)?;
    let change = Change {
        object: publish.object.clone(),
        base: publish.base(),
        body: Some(body),
        number: number(publish.change.as_deref())?,
    };
    let mut configuration = Configuration::open(context)?;
    let revision = configuration.publish(change).await?;
    let object = publish.object.to_string();
    if output.json {
        output.value(&Published { object, revision })?;
    } else {
        output.line(format!("{object}: revision {revision}"))?;
    }
    Ok(Exit::Done)
}

pub(crate) async fn show(
    object: &Object,
    context: &mut Context,
    output: &mut Output,
) -> Result<Exit, Error> {
    let mut configuration = Configuration::open(context)?;
    let state = configuration.load().await?;
    let held = state.get(object).ok_or_else(|| missing(object))?;
    let body = held.body.as_deref().unwrap_or_default();
    if output.json {
        let shown = Shown {
            object: object.to_string(),
            revision: held.revision,
            author: &held.author,
            body: Some(body),
        };
        output.value(&shown)?;
        return Ok(Exit::Done);
    }
    output.note(format!(
        "{object}: revision {} by {}",
        held.revision, held.author
    ));
    output.line(body.trim_end())?;
    Ok(Exit::Done)
}

pub(crate) async fn list(
    wanted: impl Fn(&Object) -> bool,
    context: &mut Context,
    output: &mut Output,
) -> Result<Exit, Error> {
    let mut configuration = Configuration::open(context)?;
    let state = configuration.load().await?;
    let objects: Vec<Shown<'_>> = state
        .objects()
        .filter(|(object, _)| wanted(object))
        .map(|(object, held)| Shown {
            object: name(object),
            revision: held.revision,
            author: &held.author,
            body: None,
        })
        .collect();
    if output.json {
        output.value(&objects)?;
        return Ok(Exit::Done);
    }
    let mut rows = vec![["name", "revision", "author"].map(str::to_owned).to_vec()];
    rows.extend(objects.iter().map(|shown| {
        vec![
            shown.object.clone(),
            shown.revision.to_string(),
            shown.author.to_owned(),
        ]
    }));
    output.table(&rows)?;
    Ok(Exit::Done)
}

/// Shows what a change would do, without publishing it.
pub(crate) async fn diff(
    publish: Publish,
    context: &mut Context,
    output: &mut Output,
) -> Result<Exit, Error> {
    let body = read(&publish.file)?;
    let mut configuration = Configuration::open(context)?;
    let state = configuration.load().await?;
    let old = state
        .get(&publish.object)
        .and_then(|held| held.body.clone())
        .unwrap_or_default();
    let diff = unified(&old, &body, &publish);
    let change = Change {
        object: publish.object.clone(),
        base: publish.base(),
        body: Some(body),
        number: None,
    };
    let base = configuration::base(state, &change);
    let tried = try_out(state, change, base).map_err(|error| error.at(publish.file.clone()));
    if output.json {
        output.value(&Trial {
            object: publish.object.to_string(),
            base,
            accepted: tried.is_ok(),
            diff: &diff,
        })?;
    } else {
        output.raw(diff.as_bytes())?;
    }
    tried?;
    output.note("it would be accepted");
    Ok(Exit::Done)
}

impl Publish {
    fn base(&self) -> Base {
        match (self.new, self.base) {
            (true, _) => Base::New,
            (false, Some(revision)) => Base::Revision(revision),
            (false, None) => Base::Newest,
        }
    }
}

/// Lets the fold judge a change as if it came next in the stream; nothing is appended.
fn try_out(state: &State, change: Change, base: Option<id::Revision>) -> Result<(), Error> {
    let put = Put {
        change: rand::random(),
        object: change.object,
        base,
        body: change.body,
        author: String::new(),
    };
    let writer = Writer {
        process: id::Process {
            host: rand::random(),
            role: id::Role::Tool,
        },
        incarnation: 0,
    };
    let envelope = Envelope {
        writer,
        sequence: 1,
        stamp: Stamp::default(),
        records: vec![Record::Put(put)],
    };
    let entry = Entry {
        offset: state.next(),
        payload: envelope.encode(),
    };
    let judged = state.clone().apply(&entry);
    match judged.first() {
        Some(judged) if judged.verdict != Verdict::Copy => {
            configuration::accepted(judged).map(|_| ())
        }
        _ => Err(Error::new(Exit::Failed, "the change could not be judged")),
    }
}

fn unified(old: &str, new: &str, publish: &Publish) -> String {
    let published = format!("{} as published", publish.object);
    TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(DIFF_CONTEXT)
        .header(&published, &publish.file)
        .to_string()
}

/// Reads a file, or stdin for `-`.
pub(crate) fn read(file: &str) -> Result<String, Error> {
    let mut text = String::new();
    let read = match file {
        "-" => std::io::stdin().take(MAX_TEXT).read_to_string(&mut text),
        path => fs::File::open(Path::new(path))
            .and_then(|file| file.take(MAX_TEXT).read_to_string(&mut text)),
    };
    match read {
        Ok(_) => Ok(text),
        Err(error) => Err(Error::new(Exit::Input, format!("can't be read: {error}"))
            .at(file)
            .help("name a text file, or - for stdin")),
    }
}

fn number(text: Option<&str>) -> Result<Option<u128>, Error> {
    let Some(text) = text else {
        return Ok(None);
    };
    match id::parse_wide(text) {
        Some(number) => Ok(Some(number)),
        None => Err(
            Error::new(Exit::Input, format!("`{text}` is no change number"))
                .help("give the 32 hexadecimal digits that the earlier try printed"),
        ),
    }
}

fn name(object: &Object) -> String {
    match object {
        Object::Template(name) | Object::Customer(name) => name.clone(),
        Object::Host(_) | Object::Upstream(_) => object.to_string(),
    }
}

fn missing(object: &Object) -> Error {
    Error::new(Exit::Missing, "it does not exist")
        .at(object.to_string())
        .help("see which there are with `list`")
}
