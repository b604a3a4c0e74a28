//! The log's own time, by which the fold forgets: equal for all readers, whenever they read.

use serde::{Deserialize, Serialize};
use tinbank_base::id;

/// Time by the stamps of the envelopes.
///
/// It is the second newest of the processes' newest stamps, so that one host whose clock is years ahead can't
/// make every reader forget results that are still to be readable. While only one process has written, it is that
/// one's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Time {
    micros: u64,
    lead: Option<Lead>,
    /// Whether a second process has written.
    agreed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Lead {
    process: id::Process,
    micros: u64,
}

impl Time {
    /// Microseconds since 1970.
    pub(super) fn micros(&self) -> u64 {
        match self.lead {
            Some(lead) if !self.agreed => lead.micros,
            _ => self.micros,
        }
    }

    /// Takes in the stamp of an envelope.
    pub(super) fn observe(&mut self, process: id::Process, micros: u64) {
        let Some(lead) = &mut self.lead else {
            self.lead = Some(Lead { process, micros });
            return;
        };
        if lead.process == process {
            lead.micros = lead.micros.max(micros);
            return;
        }
        self.agreed = true;
        let second = lead.micros.min(micros);
        if micros > lead.micros {
            *lead = Lead { process, micros };
        }
        self.micros = self.micros.max(second);
    }
}
