//! Ticket of a request in flight.

use std::{sync::Arc, time::Instant};

use tinbank_base::platform::upstream::{self, Kind};
use tinbank_configuration::template::Traffic;

use super::{Inner, entry::Entry};
use crate::{choice::Ticket, health::Signal};

/// A request in flight at an upstream, until it is dropped.
pub(super) struct InFlight {
    inner: Arc<Inner>,
    entry: Arc<Entry>,
    traffic: Traffic,
    probe: bool,
}

impl InFlight {
    pub(super) fn begin(inner: Arc<Inner>, entry: Arc<Entry>, traffic: Traffic) -> Self {
        entry.live.begin(traffic);
        let probe = entry.live.begin_probe();
        let in_flight = Self {
            inner,
            entry,
            traffic,
            probe,
        };
        in_flight.notify_if_online();
        in_flight
    }

    pub(super) fn is_probe(&self) -> bool {
        self.probe
    }

    fn notify_if_online(&self) {
        if self.traffic == Traffic::Online {
            self.inner.notify_online_changed(&self.entry);
        }
    }
}

impl Ticket for InFlight {
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

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry.live.end(self.traffic);
        if self.probe {
            self.entry.live.end_probe();
        }
        self.notify_if_online();
    }
}
