//! Submissions that were decided, kept so that a late copy of a record is not decided anew.
//!
//! An append without an answer is repeated, so the log may have several copies of a submission, some of them seconds after its caller was
//! told the verdict on the first. A refusal promises that the job will not run, also if the quota has room by the time of a later copy.
//!
//! A submission names the position of the log at which its call began. One that began before a refusal of its job was decided can't be a
//! new attempt of a caller that knows of it. Verdicts depend on the log alone: see `docs/design/users-platform.md`.

use std::collections::HashMap;

use crate::record::{JobId, Offset};

/// Records after the position of a submission from which on it is outdated, so that older decisions can be dropped. Far more than are
/// appended while a caller waits for its answer.
const MAX_LAG: Offset = 1 << 16;

/// The decisions on the last submissions.
#[derive(Debug, Default)]
pub(crate) struct Decisions {
    /// The records before this offset were trimmed before they were applied here.
    first_known: Offset,
    /// The last decision on each job.
    last: HashMap<JobId, Decision>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Decision {
    offset: Offset,
    is_accepted: bool,
}

/// What the decisions so far say about a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Prior {
    /// They don't decide it.
    None,
    /// Its job was accepted after its call began.
    Accepted,
    /// It may be a late copy of a submission that was refused.
    Outdated,
}

impl Decisions {
    /// Notes that the records before an offset were trimmed before they were applied here.
    pub fn skip_to(&mut self, first: Offset) {
        self.first_known = self.first_known.max(first);
    }

    /// Records the decision on the submission of a job at an offset.
    pub fn record(&mut self, job: JobId, offset: Offset, is_accepted: bool) {
        let decision = Decision {
            offset,
            is_accepted,
        };
        self.last.insert(job, decision);
    }

    /// Returns what earlier decisions say about a submission at an offset, whose call began at a position of the log. Submissions
    /// written by earlier versions have no position, and count as new attempts.
    pub fn prior(&self, job: &str, offset: Offset, position: Option<Offset>) -> Prior {
        let Some(position) = position else {
            return Prior::None;
        };
        if position < self.first_known || offset > position + MAX_LAG {
            return Prior::Outdated;
        }
        let later = self.last.get(job).filter(|it| it.offset >= position);
        match later {
            None => Prior::None,
            Some(decision) if decision.is_accepted => Prior::Accepted,
            Some(_) => Prior::Outdated,
        }
    }

    /// Drops the decisions before which no submission at an offset, or later, can have begun without being outdated. When this is done has
    /// no effect on verdicts.
    pub fn prune(&mut self, offset: Offset) {
        self.last.retain(|_, it| offset <= it.offset + MAX_LAG);
    }
}
