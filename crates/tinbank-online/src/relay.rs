//! Checks that the parts of an answer, possibly from several engines in turn, make up one whole. Pure.

use tinbank_base::platform::upstream::{Kind, Part};

/// What has been passed on of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Relay {
    next: u32,
}

impl Relay {
    /// Number of tokens that the caller has; a resumed engine goes on with this index.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Takes in a part and returns it if it is the one that comes next.
    ///
    /// # Errors
    /// A token out of order, or an end marker that counts other than the caller got: the answer is not ours, or not
    /// whole, and the part must not reach the caller.
    pub fn take(&mut self, part: Part) -> Result<Part, Kind> {
        match &part {
            Part::Token { index, .. } if *index != self.next => Err(Kind::Crossed(format!(
                "token {index} in place of {}",
                self.next
            ))),
            Part::End { tokens, .. } if *tokens != self.next => Err(Kind::Crossed(format!(
                "the end marker counts {tokens} tokens, {} were passed on",
                self.next
            ))),
            Part::Token { .. } => {
                self.next += 1;
                Ok(part)
            }
            Part::End { .. } => Ok(part),
        }
    }
}
