//! Reads the settings file.

use std::path::{Path, PathBuf};

use tinbank_gateway::settings::Settings;

/// Why the settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read the settings {path}: {source}\nhelp: give a readable file by --settings")]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file isn't valid JSON with comments.
    #[error("{path}: {problem}\nhelp: the settings are JSON with comments, see docs/running.md")]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Position and description of the error.
        problem: String,
    },
    /// A setting is missing, unknown or invalid.
    #[error("{path}: {problem}\nhelp: see docs/running.md for the settings of tinbank-entry")]
    Value {
        /// The file.
        path: PathBuf,
        /// Name of the setting and description of the error.
        problem: String,
    },
}

/// Reads the settings from a file.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

fn parse(path: &Path, text: &str) -> Result<Settings, Error> {
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &Default::default());
    let value = value.map_err(|error| Error::Syntax {
        path: path.to_owned(),
        problem: error.to_string(),
    })?;
    serde_path_to_error::deserialize(value).map_err(|error| Error::Value {
        path: path.to_owned(),
        problem: error.to_string(),
    })
}
