//! Errors as text.

use std::error::Error;

/// An error with its causes, parted by colons. The text of many libraries' errors leaves out what the system said, which
/// is what an operator needs.
pub fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}
