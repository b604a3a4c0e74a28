//! Arguments that all server binaries share. See `docs/running.md`.

use std::{
    io::{self, Write as _},
    path::PathBuf,
    process::ExitCode,
};

use argh::FromArgs;

use crate::{Findings, Schema, load};

/// Exit code for settings that are refused.
pub const EXIT_SETTINGS: u8 = 2;

/// Runs one server of tinbank.
#[derive(Clone, Debug, Default, PartialEq, Eq, FromArgs)]
pub struct Arguments {
    /// settings file, in JSON with comments
    #[argh(positional)]
    pub settings: Option<PathBuf>,
    /// only check the settings file and show all findings
    #[argh(switch)]
    pub check: bool,
    /// write the HTTP interface as OpenAPI to stdout and end
    #[argh(switch)]
    pub openapi: bool,
}

/// What the arguments ask for.
#[derive(Clone, Debug)]
pub enum Request<T> {
    /// Write the OpenAPI description and end.
    OpenApi,
    /// The settings are fine, and that is all that was asked.
    Checked(PathBuf),
    /// Serve with these settings.
    Serve(T),
}

/// Why a server doesn't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No settings file was named.
    #[error("no settings file is named; give one, as in `tinbank-online online.jsonc`")]
    Missing,
    /// The settings are refused.
    #[error(transparent)]
    Settings(#[from] Findings),
}

impl Arguments {
    /// Reads the settings that are named, if they are needed.
    ///
    /// # Errors
    /// All findings together, or that no file was named.
    pub fn resolve<T: Schema>(self) -> Result<Request<T>, Error> {
        if self.openapi {
            return Ok(Request::OpenApi);
        }
        let path = self.settings.ok_or(Error::Missing)?;
        let settings = load(&path)?;
        if self.check {
            return Ok(Request::Checked(path));
        }
        Ok(Request::Serve(settings))
    }
}

/// Shows why the server doesn't start.
pub fn refuse(error: &Error) -> ExitCode {
    // Where stderr is closed nobody reads it; the exit code still says it.
    let _ = writeln!(io::stderr(), "{error}");
    ExitCode::from(EXIT_SETTINGS)
}
