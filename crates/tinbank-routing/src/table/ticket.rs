//! A choice in flight.

use std::{sync::Arc, time::Instant};

use tinbank_base::platform::upstream::{self, Kind};
use tinbank_configuration::template::Traffic;

use super::{Inner, entry::Entry};
use crate::{choice::Ticket, health::Sign};

/// Counts as in flight until it is dropped.
pub(super) struct Held {
    inner: Arc<Inner>,
    entry: Arc<Entry>,
    traffic: Traffic,
    probe: bool,
}

impl Held {
    pub(super) fn begin(inner: Arc<Inner>, entry: Arc<Entry>, traffic: Traffic) -> Self {
        entry.live.begin(traffic);
        let probe = entry.live.begin_probe();
        let held = Self {
            inner,
            entry,
            traffic,
            probe,
        };
        held.tell();
        held
    }

    pub(super) fn is_probe(&self) -> bool {
        self.probe
    }

    fn tell(&self) {
        if self.traffic == Traffic::Online {
            self.inner.count_changed(&self.entry);
        }
    }
}

impl Ticket for Held {
    fn record_result(&self, result: Result<(), &upstream::Error>, now: Instant) {
        let sign = match result {
            Ok(()) => Sign::Good,
            Err(error) => Sign::of(&error.kind),
        };
        if result.is_err_and(|error| error.kind == Kind::Leaving) {
            self.inner.sign(self.entry.listed.upstream, now);
        }
        self.entry.live.note(sign, now);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.entry.live.end(self.traffic);
        if self.probe {
            self.entry.live.end_probe();
        }
        self.tell();
    }
}
