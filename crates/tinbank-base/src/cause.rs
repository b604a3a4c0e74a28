//! Error messages with their causes.

use std::error::Error;

/// Returns the message of an error followed by those of its sources, separated by colons. The messages of many libraries
/// leave out the underlying system error.
pub fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}
