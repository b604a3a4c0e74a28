//! Joins the pages of many processes into one causal order.

use serde::{Deserialize, Serialize};
use tinbank_base::{clock::Stamp, event::Event, id};

use crate::page::Page;

/// What came of asking one process.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Its page.
    Page(Page),
    /// It could not be asked.
    Unreachable {
        /// Who was asked.
        process: id::Process,
        /// Why there is no page.
        reason: String,
    },
}

/// The joined time line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Timeline {
    /// Everyone who was asked, in order; a lane each.
    pub processes: Vec<id::Process>,
    /// What is missing.
    pub gaps: Vec<Gap>,
    /// All events; a cause always stands before its effect.
    pub events: Vec<Event>,
}

/// Something that is missing from a time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Whose events are missing.
    pub process: id::Process,
    /// Which and why.
    #[serde(flatten)]
    pub cause: Cause,
}

/// Why events are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "gap", rename_all = "snake_case")]
pub enum Cause {
    /// The process did not answer: none of its events are here.
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// Its full ring has dropped events.
    Lost {
        /// How many; some of them might have matched the query.
        events: u64,
        /// They all came before this.
        before: Option<Stamp>,
    },
}

/// Joins answers into one time line. No event is dropped and none is counted twice; events of one process keep
/// their order, and an event that observed another's stamp stands after it.
pub fn merge(answers: Vec<Answer>) -> Timeline {
    let mut timeline = Timeline::default();
    for answer in answers {
        match answer {
            Answer::Page(page) => timeline.take(page),
            Answer::Unreachable { process, reason } => {
                timeline.processes.push(process);
                timeline.gaps.push(Gap {
                    process,
                    cause: Cause::Unreachable { reason },
                });
            }
        }
    }
    timeline.processes.sort_unstable();
    timeline.processes.dedup();
    timeline.gaps.sort_by_key(|gap| gap.process);
    // Stable: within a process stamps rise strictly, and processes were taken one after another.
    timeline
        .events
        .sort_by_key(|event| (event.stamp, event.process));
    timeline
}

impl Timeline {
    fn take(&mut self, page: Page) {
        self.processes.push(page.process);
        if page.lost > 0 {
            self.gaps.push(Gap {
                process: page.process,
                cause: Cause::Lost {
                    events: page.lost,
                    before: page.oldest,
                },
            });
        }
        self.events.extend(page.events);
    }
}
