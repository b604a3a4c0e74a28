//! The JSON form.

use crate::merge::Timeline;

/// The time line as one JSON object.
///
/// # Errors
/// None in practice: everything in a time line has a JSON form.
pub fn json(timeline: &Timeline) -> serde_json::Result<String> {
    serde_json::to_string_pretty(timeline)
}
