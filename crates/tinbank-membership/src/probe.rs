//! Probes that wait for an answer, and suspicions that wait for a refutation.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tinbank_base::id;

/// Time that a probed process has to answer each of its probes.
pub(crate) const ANSWER_WITHIN: Duration = Duration::from_millis(900);
/// Probes without an answer until a process is suspected.
const PROBES: u8 = 2;
/// Time that a suspect has to refute.
pub(crate) const REFUTE_WITHIN: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    until: Instant,
    sent: u8,
}

/// What has become due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Probe it once more.
    Again(id::Process),
    /// It stays silent.
    Suspect(id::Process),
    /// It did not refute.
    Dead(id::Process),
}

/// Probes and suspicions by process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    waiting: BTreeMap<id::Process, Waiting>,
    suspects: BTreeMap<id::Process, Instant>,
}

impl Probes {
    pub(crate) fn sent(&mut self, process: id::Process, now: Instant) {
        let fresh = Waiting {
            until: now,
            sent: 0,
        };
        let waiting = self.waiting.entry(process).or_insert(fresh);
        // Among few processes the next probe comes before the answer is due: it must not put the deadline off.
        if waiting.until <= now {
            waiting.until = now + ANSWER_WITHIN;
            waiting.sent += 1;
        }
    }

    /// It was heard of directly.
    pub(crate) fn answered(&mut self, process: id::Process) {
        self.waiting.remove(&process);
    }

    pub(crate) fn suspect(&mut self, process: id::Process, now: Instant) {
        self.suspects.entry(process).or_insert(now + REFUTE_WITHIN);
    }

    pub(crate) fn clear(&mut self, process: id::Process) {
        self.waiting.remove(&process);
        self.suspects.remove(&process);
    }

    /// The suspects, to be probed until they refute or are held for dead.
    pub(crate) fn suspects(&self) -> impl ExactSizeIterator<Item = id::Process> {
        self.suspects.keys().copied()
    }

    /// We were paused: the silence may be ours, so everyone gets his time once more.
    pub(crate) fn forgive(&mut self, now: Instant) {
        self.waiting.clear();
        for until in self.suspects.values_mut() {
            *until = now + REFUTE_WITHIN;
        }
    }

    /// Takes out what is due. A process that is to be probed again stays in until it is.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<Due> {
        let mut due = Vec::new();
        self.waiting.retain(|&process, waiting| {
            if waiting.until > now {
                return true;
            }
            let again = waiting.sent < PROBES;
            due.push(if again {
                Due::Again(process)
            } else {
                Due::Suspect(process)
            });
            again
        });
        self.suspects.retain(|&process, until| {
            let dead = *until <= now;
            if dead {
                due.push(Due::Dead(process));
            }
            !dead
        });
        due
    }
}
