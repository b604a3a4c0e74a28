//! The one error that commands end with: what happened, where, and what to do.

use std::{fmt, io};

use tinbank_base::outcome::{Code, Failure, Ran};
use tinbank_settings::Findings;

use crate::exit::Exit;

/// Why a command did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// What the process ends with.
    pub exit: Exit,
    /// What happened.
    pub what: String,
    /// Where: a file, an address, an object.
    pub place: Option<String>,
    /// What to do about it.
    pub help: Option<String>,
    /// Whether the reader of our output went away: then there is nobody to tell, and nothing is wrong.
    pub closed: bool,
}

impl Error {
    /// An error without place and help.
    pub fn new(exit: Exit, what: impl Into<String>) -> Self {
        Self {
            exit,
            what: what.into(),
            place: None,
            help: None,
            closed: false,
        }
    }

    /// Adds where.
    pub fn at(self, place: impl Into<String>) -> Self {
        Self {
            place: Some(place.into()),
            ..self
        }
    }

    /// Adds what to do.
    pub fn help(self, help: impl Into<String>) -> Self {
        Self {
            help: Some(help.into()),
            ..self
        }
    }

    /// What a server answered in the callers' error shape.
    pub fn refused(failure: &Failure) -> Self {
        let code = name(failure.code);
        let what = match failure.ran {
            Ran::No => format!("refused ({code}, not run): {}", failure.message),
            Ran::Unknown => format!("{code}, it may have run: {}", failure.message),
            Ran::Yes => format!("{code}, it ran: {}", failure.message),
        };
        Self {
            help: failure.help.clone(),
            ..Self::new(exit(failure), what)
        }
    }
}

fn exit(failure: &Failure) -> Exit {
    match (failure.code, failure.ran) {
        (Code::NotFound, _) => Exit::Missing,
        (_, Ran::Unknown) => Exit::Unknown,
        (Code::BadRequest | Code::TooLarge | Code::KeyReused, Ran::No) => Exit::Input,
        (_, Ran::No) => Exit::Refused,
        (_, Ran::Yes) => Exit::Failed,
    }
}

/// The code as it stands in JSON.
fn name(code: Code) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{code:?}"),
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = &self.place {
            write!(f, "{place}: ")?;
        }
        f.write_str(&self.what)?;
        if let Some(help) = &self.help {
            write!(f, "\n  help: {help}")?;
        }
        Ok(())
    }
}

impl From<Findings> for Error {
    fn from(findings: Findings) -> Self {
        Self::new(Exit::Input, findings.to_string())
    }
}

impl From<io::Error> for Error {
    /// Errors of our own output; other I/O gets its place where it happens.
    fn from(error: io::Error) -> Self {
        if error.kind() == io::ErrorKind::BrokenPipe {
            return Self {
                closed: true,
                ..Self::new(Exit::Done, "the reader of the output went away")
            };
        }
        Self::new(Exit::Failed, format!("can't write the output: {error}"))
    }
}
