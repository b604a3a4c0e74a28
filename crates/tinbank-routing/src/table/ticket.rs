//! A choice in flight.

use std::{sync::Arc, time::Instant};

use tinbank_base::platform::upstream::{self, Kind};
use tinbank_configuration::template::Traffic;

use super::{Inner, entry::Entry};
use crate::{choice::Ticket, health::Signal};

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
        let signal = match result {
            Ok(()) => Signal::Healthy,
            Err(error) => Signal::of(&error.kind),
        };
        if result.is_err_and(|error| error.kind == Kind::Leaving) {
            self.inner.record_leaving(self.entry.listed.upstream, now);
        }
        self.entry.live.record(signal, now);
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
