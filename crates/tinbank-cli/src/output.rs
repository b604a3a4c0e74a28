//! Where a command writes: results to stdout, everything for people besides to stderr.

use std::io::{self, IsTerminal as _, Write};

use argh::EarlyExit;
use serde::Serialize;

use crate::{error::Error, exit::Exit};

/// The two streams, and the form that is wanted.
pub struct Output {
    out: Box<dyn Write + Send>,
    err: Box<dyn Write + Send>,
    /// Whether results and errors are wanted as JSON.
    pub json: bool,
    /// Whether a person watches stderr, so that progress may be drawn.
    pub terminal: bool,
}

/// An error as JSON on stderr.
#[derive(Serialize)]
struct Shown<'a> {
    error: String,
    exit: u8,
    what: &'a str,
    place: Option<&'a str>,
    help: Option<&'a str>,
}

impl Output {
    /// The streams of this process.
    pub fn stdio() -> Self {
        Self {
            terminal: io::stderr().is_terminal(),
            ..Self::new(Box::new(io::stdout()), Box::new(io::stderr()))
        }
    }

    /// Other streams, without progress.
    pub fn new(out: Box<dyn Write + Send>, err: Box<dyn Write + Send>) -> Self {
        Self {
            out,
            err,
            json: false,
            terminal: false,
        }
    }

    /// Writes a line of the result.
    ///
    /// # Errors
    /// The reader went away, or the stream can't be written; likewise for the other functions.
    pub fn line(&mut self, line: impl AsRef<str>) -> Result<(), Error> {
        self.out.write_all(line.as_ref().as_bytes())?;
        self.out.write_all(b"\n")?;
        Ok(self.out.flush()?)
    }

    /// Writes a part of the result as it is, at once.
    pub fn raw(&mut self, part: &[u8]) -> Result<(), Error> {
        self.out.write_all(part)?;
        Ok(self.out.flush()?)
    }

    /// Writes the result as JSON.
    pub fn value(&mut self, value: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(value)
            .map_err(|error| Error::new(Exit::Failed, error.to_string()))?;
        self.line(text)
    }

    /// Writes a table with aligned columns; the first row is the head.
    pub fn table(&mut self, rows: &[Vec<String>]) -> Result<(), Error> {
        let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| width(rows, column)).collect();
        for row in rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            self.line(cells.join("  ").trim_end())?;
        }
        Ok(())
    }

    /// Tells people something that is not part of the result. Nothing is wrong when nobody listens.
    pub fn note(&mut self, note: impl AsRef<str>) {
        let _ = writeln!(self.err, "{}", note.as_ref());
    }

    /// Shows an error and gives the exit that goes with it.
    pub fn fail(&mut self, error: &Error) -> Exit {
        if error.closed {
            return error.exit;
        }
        if !self.json {
            self.note(format!("tinbank: {error}"));
            return error.exit;
        }
        let shown = Shown {
            error: error.exit.to_string(),
            exit: error.exit.code(),
            what: &error.what,
            place: error.place.as_deref(),
            help: error.help.as_deref(),
        };
        // Strings and numbers always have a JSON form.
        self.note(serde_json::to_string(&shown).unwrap_or_default());
        error.exit
    }

    /// Shows help that was asked for, or what is wrong with the arguments.
    pub fn early(&mut self, early: &EarlyExit) -> Exit {
        match early.status {
            Ok(()) => match self.line(early.output.trim_end()) {
                Ok(()) => Exit::Done,
                Err(error) => self.fail(&error),
            },
            Err(()) => {
                self.note(early.output.trim_end());
                self.note("  help: `tinbank help`, or any command with `--help`");
                Exit::Input
            }
        }
    }
}

fn width(rows: &[Vec<String>], column: usize) -> usize {
    rows.iter()
        .filter_map(|row| row.get(column))
        .map(|cell| cell.chars().count())
        .max()
        .unwrap_or(0)
}
