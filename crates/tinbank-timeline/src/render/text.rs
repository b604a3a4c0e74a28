//! The form for terminals: one line an event.

use std::fmt::Write as _;

use crate::merge::{Cause, Gap, Timeline};

use super::describe;

/// The time line as lines of text: time, process, event, subject. Gaps come first.
pub fn text(timeline: &Timeline) -> String {
    let mut lines = String::new();
    for gap in &timeline.gaps {
        // Writing to a string can't fail.
        let _ = writeln!(lines, "{}", describe_gap(gap));
    }
    for event in &timeline.events {
        let time = describe::time(event.stamp);
        let process = event.process.to_string();
        let name = describe::name(&event.kind);
        let details = describe::details(event);
        let _ = writeln!(
            lines,
            "{time}  {process:<10}  {name:<16}  {}",
            details.join(" ")
        );
    }
    lines
}

pub(super) fn describe_gap(gap: &Gap) -> String {
    let process = gap.process;
    match &gap.cause {
        Cause::Unreachable { reason } => format!("gap: {process} could not be asked: {reason}"),
        Cause::Lost {
            events,
            before: Some(before),
        } => {
            let time = describe::time(*before);
            format!("gap: {process} has lost {events} events before {time}")
        }
        Cause::Lost {
            events,
            before: None,
        } => format!("gap: {process} has lost {events} events"),
    }
}
