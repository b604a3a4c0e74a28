//! Validation findings: what is wrong with an operator's text, and where.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A mistake in a text. All mistakes of a text are reported together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Line, from 1; 0 if the finding concerns the whole text.
    pub line: usize,
    /// Column in characters, from 1; 0 if the finding concerns the whole text.
    pub column: usize,
    /// Path of the field, such as `services.logger-notes.artifact`; empty if the finding concerns the whole text.
    pub field: String,
    /// Description of the mistake.
    pub message: String,
    /// How to correct it.
    pub help: String,
}

impl Finding {
    /// Creates a finding that concerns the whole text.
    pub fn whole_text(message: impl Into<String>, help: impl Into<String>) -> Self {
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
