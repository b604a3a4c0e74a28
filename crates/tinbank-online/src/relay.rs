//! Checks that the parts of an answer, possibly from several engines in turn, are complete and in order.

use tinbank_base::platform::upstream::{Kind, Part};

/// How much of one answer has been relayed to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Relay {
    next: u32,
}

impl Relay {
    /// Returns the number of tokens relayed, which is the index that another engine resumes from.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Returns the part if it is the next one of the answer.
    ///
    /// # Errors
    /// A token is out of order, or the end marker's count differs from the tokens relayed: the answer belongs to
    /// another request or is incomplete, and the part must not reach the caller.
    pub fn accept(&mut self, part: Part) -> Result<Part, Kind> {
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
