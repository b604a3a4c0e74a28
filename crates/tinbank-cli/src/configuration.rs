//! Reads the configuration from the log and publishes changes of it.

use std::{
    sync::Arc,
    time::{Instant, SystemTime},
};

use tinbank_base::{
    clock::{self, Stamp},
    id,
    platform::log::Log,
    record::{
        Writer as Identity,
        config::{Object, Put},
    },
};
use tinbank_configuration::{
    finding::Finding,
    fold::{Judged, State, Verdict},
    publish::{self, Publisher, TIMEOUT},
};
use tinbank_log::{reader, writer, writer::Writer};
use tokio::sync::watch;

use crate::{context::Context, error::Error, exit::Exit, history};

/// Which revision a change is made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Base {
    /// The newest one, whatever it is.
    Newest,
    /// This one.
    Revision(id::Revision),
    /// None: the object must not exist.
    New,
}

/// A change to be published.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) object: Object,
    pub(crate) base: Base,
    /// `None` deletes the object.
    pub(crate) body: Option<String>,
    /// Number of an earlier try of the same change.
    pub(crate) number: Option<u128>,
}

/// The log's configuration stream as the command line uses it.
pub(crate) struct Configuration {
    log: Arc<dyn Log>,
    publisher: Publisher,
    author: String,
}

impl Configuration {
    pub(crate) fn open(context: &mut Context) -> Result<Self, Error> {
        let author = context.settings()?.author();
        let log = context.log()?;
        let writer = start_writer(log.clone());
        Ok(Self {
            publisher: Publisher::new(log.clone(), writer, reader::Settings::default()),
            log,
            author,
        })
    }

    /// The state at the stream's tail.
    pub(crate) async fn load(&mut self) -> Result<&State, Error> {
        let until = Instant::now() + TIMEOUT;
        self.publisher
            .load(until)
            .await
            .map_err(|error| failed(&error))
    }

    /// Publishes a change and gives the revision that it has become.
    pub(crate) async fn publish(&mut self, change: Change) -> Result<id::Revision, Error> {
        let place = change.object.to_string();
        if let Some(judged) = self.earlier(change.number).await? {
            return accepted(&judged).map_err(|error| error.at(place));
        }
        let state = self.load().await?;
        let base = base(state, &change);
        let put = Put {
            change: change.number.unwrap_or_else(rand::random),
            object: change.object,
            base,
            body: change.body,
            author: self.author.clone(),
        };
        let until = Instant::now() + TIMEOUT;
        let judged = self.publisher.put(put, until).await;
        let judged = judged.map_err(|error| failed(&error).at(place.clone()))?;
        accepted(&judged).map_err(|error| error.at(place))
    }

    /// What became of an earlier try of the same change. Its copy would tell nothing.
    async fn earlier(&self, number: Option<u128>) -> Result<Option<Judged>, Error> {
        let Some(number) = number else {
            return Ok(None);
        };
        let changes = history::read(self.log.as_ref()).await?;
        Ok(changes
            .into_iter()
            .map(|change| change.judged)
            .find(|judged| judged.change == number && judged.verdict != Verdict::Copy))
    }
}

pub(crate) fn base(state: &State, change: &Change) -> Option<id::Revision> {
    match change.base {
        Base::Newest => state.get(&change.object).map(|held| held.revision),
        Base::Revision(revision) => Some(revision),
        Base::New => None,
    }
}

/// The revision of an accepted change, or why it was not accepted.
pub(crate) fn accepted(judged: &Judged) -> Result<id::Revision, Error> {
    match &judged.verdict {
        Verdict::Accepted { revision } => Ok(*revision),
        Verdict::Overtaken { current, by } => Err(overtaken(*current, by.as_deref())),
        Verdict::Invalid { findings } => Err(invalid(findings)),
        Verdict::Copy => Err(Error::new(
            Exit::Unknown,
            "the change is a copy of an earlier one, whose verdict can't be seen any more",
        )
        .help("look it up with `tinbank config history`")),
    }
}

pub(crate) fn overtaken(current: Option<id::Revision>, by: Option<&str>) -> Error {
    let by = by.map_or_else(String::new, |by| format!(" by {by}"));
    let (what, help) = match current {
        Some(revision) => (
            format!("overtaken{by}: the revision is now {revision}; nothing was changed"),
            format!(
                "look at it with `show`, bring your change up to date, and repeat with --base {revision}"
            ),
        ),
        None => (
            format!("it does not exist, or was deleted{by}; nothing was changed"),
            "repeat with --new to create it".to_owned(),
        ),
    };
    Error::new(Exit::Overtaken, what).help(help)
}

/// All findings in one error, each on a line of its own.
pub(crate) fn invalid(findings: &[Finding]) -> Error {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    let count = lines.len();
    let what = format!("refused with {count} findings:\n  {}", lines.join("\n  "));
    Error::new(Exit::Input, what)
        .help("correct all of them; `tinbank check` and `diff` show them without publishing")
}

fn failed(error: &publish::Error) -> Error {
    match error {
        publish::Error::NotPublished { .. } => Error::new(Exit::Unreachable, error.to_string())
            .help("nothing was changed; see that the log is reachable, then repeat"),
        publish::Error::Unknown { change, .. } => {
            Error::new(Exit::Unknown, error.to_string()).help(format!(
                "repeat the same command with --change {change:032x}: then it can't take effect twice"
            ))
        }
        publish::Error::Unreadable { .. } => Error::new(Exit::Unreachable, error.to_string())
            .help("see that `log` in the settings is right and the log is reachable, then repeat"),
    }
}

/// A writer of this run: its host number is drawn, for it stands on no host of the system.
fn start_writer(log: Arc<dyn Log>) -> Writer {
    let process = id::Process {
        host: rand::random(),
        role: id::Role::Tool,
    };
    let identity = Identity {
        process,
        incarnation: clock::incarnation(SystemTime::now()),
    };
    let stamper = Arc::new(|| Stamp {
        micros: clock::micros(SystemTime::now()),
        counter: 0,
    });
    // A tool appends one record; it counts as the only writer and draws on the reserve.
    let (_, writers) = watch::channel(1);
    Writer::start(log, identity, stamper, writer::Settings::default(), writers)
}
