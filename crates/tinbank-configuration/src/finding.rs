//! What is wrong with an operator's text, and where.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One mistake. All mistakes of a text are reported together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Line in the text, from 1; 0 if it is about the text as a whole.
    pub line: usize,
    /// Column in the line, in characters, from 1; 0 if it is about the text as a whole.
    pub column: usize,
    /// The field, such as `services.logger-notes.artifact`; empty for the text as a whole.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub help: String,
}

impl Finding {
    /// A finding about the text as a whole.
    pub fn whole(message: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            line: 0,
            column: 0,
            field: String::new(),
            message: message.into(),
            help: help.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}: ", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{} ({})", self.message, self.help)
    }
}
