//! Tracks probes that wait for an answer, and suspicions that wait for a refutation.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tinbank_base::id;

/// Response timeout of one probe.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of unanswered probes after which a process is suspected.
const MAX_PROBES: u8 = 2;
/// Time after which a suspect that has not refuted is dead.
pub(crate) const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    until: Instant,
    sent: u8,
}

/// An action that is due for a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Probe it again.
    Probe(id::Process),
    /// Suspect it: it answered no probe.
    Suspect(id::Process),
    /// Declare it dead: it did not refute the suspicion.
    Dead(id::Process),
}

/// Pending probes and suspicions by process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<id::Process, PendingProbe>,
    suspects: BTreeMap<id::Process, Instant>,
}

impl Probes {
    pub(crate) fn record_probe(&mut self, process: id::Process, now: Instant) {
        let fresh = PendingProbe {
            until: now,
            sent: 0,
        };
        let pending = self.pending.entry(process).or_insert(fresh);
        // With few processes the next probe is sent before the timeout of this one, and must not extend it.
        if pending.until <= now {
            pending.until = now + PROBE_TIMEOUT;
            pending.sent += 1;
        }
    }

    /// Records a heartbeat from the process itself.
    pub(crate) fn record_answer(&mut self, process: id::Process) {
        self.pending.remove(&process);
    }

    pub(crate) fn suspect(&mut self, process: id::Process, now: Instant) {
        self.suspects
            .entry(process)
            .or_insert(now + SUSPICION_TIMEOUT);
    }

    pub(crate) fn clear(&mut self, process: id::Process) {
        self.pending.remove(&process);
        self.suspects.remove(&process);
    }

    /// Returns the suspects.
    pub(crate) fn suspects(&self) -> impl ExactSizeIterator<Item = id::Process> {
        self.suspects.keys().copied()
    }

    /// Restarts all timeouts after a pause of the local process, which may have missed the answers.
    pub(crate) fn restart_timeouts(&mut self, now: Instant) {
        self.pending.clear();
        for until in self.suspects.values_mut() {
            *until = now + SUSPICION_TIMEOUT;
        }
    }

    /// Removes and returns what is due, except processes to probe again: those stay until they are probed.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<Due> {
        let mut due = Vec::new();
        self.pending.retain(|&process, pending| {
            if pending.until > now {
                return true;
            }
            let again = pending.sent < MAX_PROBES;
            due.push(if again {
                Due::Probe(process)
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
