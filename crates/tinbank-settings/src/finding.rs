//! What is wrong with a file, each with its place, so that one run shows all of it.

use std::fmt;

/// A place in a file. Lines and columns count from 1; columns count characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Path of the file as it was given.
    pub file: String,
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

impl Place {
    /// The place of a byte offset in a text; an offset past the end gives the end.
    pub fn at(file: &str, text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{place}: {what}; {help}")]
pub struct Finding {
    /// Where.
    pub place: Place,
    /// What is wrong.
    pub what: String,
    /// What to do about it.
    pub help: String,
}

/// All that is wrong, in the order of the places. Never empty when given as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
