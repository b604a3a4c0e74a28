//! Log time, by which state expires. Equal for all readers of the log.

use serde::{Deserialize, Serialize};
use tinbank_base::id;

/// Log time, derived from the stamps of the envelopes.
///
/// It is the second newest of the processes' newest stamps, so that a single host whose clock is ahead can't make all
/// readers remove results early. While only one process has written, it is the newest stamp of that process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Time {
    micros: u64,
    newest: Option<Newest>,
    /// Whether a second process has written.
    has_second: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Newest {
    process: id::Process,
    micros: u64,
}

impl Time {
    /// Microseconds since 1970.
    pub(super) fn micros(&self) -> u64 {
        match self.newest {
            Some(newest) if !self.has_second => newest.micros,
            _ => self.micros,
        }
    }

    /// Records the stamp of an envelope.
    pub(super) fn observe(&mut self, process: id::Process, micros: u64) {
        let Some(newest) = &mut self.newest else {
            self.newest = Some(Newest { process, micros });
            return;
        };
        if newest.process == process {
            newest.micros = newest.micros.max(micros);
            return;
        }
        self.has_second = true;
        let second = newest.micros.min(micros);
        if micros > newest.micros {
            *newest = Newest { process, micros };
        }
        self.micros = self.micros.max(second);
    }
}
