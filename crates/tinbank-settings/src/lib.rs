//! Reads a process's settings from JSON with comments and reports all findings together, each with its place.
//!
//! A settings struct declares its keys once, in a table of [`schema::Field`]s: type, unit, range, default and help. The
//! table checks the file, fills in defaults, and writes `docs/configuration.md`. See `docs/design/settings.md`.

mod check;
pub mod cli;
pub mod common;
pub mod document;
pub mod finding;
mod near;
pub mod parse;
pub mod ports;
pub mod schema;

pub use finding::{Finding, Findings};
pub use parse::{load, parse};
pub use schema::Schema;
