//! Measures the pace of an upstream on one request, at the host that sent it.

use std::time::{Duration, Instant};

use super::{Expected, Sample};

/// Multiple of the expected time from which an event is late. Above the factor of 1.8 by which upstreams at 0.55 of the usual
/// speed are slower, which finished requests show, and low enough that an upstream at a fifth of its speed is reported after half
/// of its first long pause.
const LATE_FACTOR: f64 = 2.5;
/// Time that an event may take in addition, for datagrams, connections and short pauses of the host.
const LATE_MARGIN: Duration = Duration::from_millis(20);
/// Maximum number of late events reported for one request: two pauses, each when it is noticed and when it has ended.
const MAX_REPORTS: u32 = 4;
/// Number of latest events over which the mean time is taken, so that a long request shows the present pace.
pub(super) const RECENT: usize = 8;
/// Time without reading from the upstream from which the time between two events is not measured: its caller reads slowly, or
/// the host is busy.
const MAX_UNREAD: Duration = Duration::from_millis(10);

/// Measures one request, from sending it to its last event.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    expected: Option<Expected>,
    sent_at: Instant,
    /// Whether the request may first wait inside the upstream, so that the time to its first event does not show the pace.
    is_queued: bool,
    first_event_ms: u32,
    last_event_at: Option<Instant>,
    /// Since when the next event has been awaited.
    waiting_since: Instant,
    /// Times between the latest events, in microseconds.
    recent: [u32; RECENT],
    measured: usize,
    events: u32,
    reports: u32,
    /// Whether the event that is awaited was reported as late.
    is_reported: bool,
}

impl Meter {
    /// Creates the meter of a request that is sent now.
    pub fn new(expected: Option<Expected>, is_queued: bool, now: Instant) -> Self {
        Self {
            expected,
            sent_at: now,
            is_queued,
            first_event_ms: 0,
            last_event_at: None,
            waiting_since: now,
            recent: [0; RECENT],
            measured: 0,
            events: 0,
            reports: 0,
            is_reported: false,
        }
    }

    /// Records that the host waits for the next event from now on.
    pub fn record_wait(&mut self, now: Instant) {
        self.waiting_since = now;
    }

    /// Records an event. Returns what to report at once if the event had been reported as late.
    pub fn record_event(&mut self, now: Instant) -> Option<Sample> {
        let was_reported = std::mem::take(&mut self.is_reported);
        let report = if was_reported {
            self.late_sample(now)
        } else {
            None
        };
        match self.last_event_at.replace(now) {
            None if self.is_queued => {}
            None => {
                let took = now.saturating_duration_since(self.sent_at);
                self.first_event_ms = (took.as_millis() as u32).max(1);
            }
            Some(last) => {
                self.events += 1;
                if self.waiting_since <= last + MAX_UNREAD {
                    let took = now.saturating_duration_since(last);
                    self.recent[self.measured % RECENT] = took.as_micros() as u32;
                    self.measured += 1;
                }
            }
        }
        // The next event may have been received together with this one.
        self.waiting_since = now;
        report
    }

    /// Returns when the next event is late, if that has to be reported.
    pub fn late_at(&self) -> Option<Instant> {
        let expected = self.expected?;
        if self.reports >= MAX_REPORTS || self.is_reported {
            return None;
        }
        let (start, usual) = match self.last_event_at {
            None if self.is_queued => return None,
            None => {
                let first_event = Duration::from_millis(expected.first_event_ms.into());
                (self.sent_at, first_event)
            }
            Some(last) => {
                let interval = Duration::from_micros(expected.interval_us.into());
                (last.max(self.waiting_since), interval)
            }
        };
        Some(start + usual.mul_f64(LATE_FACTOR) + LATE_MARGIN)
    }

    /// Returns what to report if the next event is late by now.
    pub fn take_late(&mut self, now: Instant) -> Option<Sample> {
        if self.late_at().is_none_or(|at| now < at) {
            return None;
        }
        self.is_reported = true;
        self.late_sample(now)
    }

    /// Returns what was measured, unless there was no event.
    pub fn sample(&self) -> Option<Sample> {
        self.last_event_at?;
        let measured = self.measured.min(RECENT);
        let sum: u64 = self.recent[..measured]
            .iter()
            .map(|it| u64::from(*it))
            .sum();
        Some(Sample {
            first_event_ms: self.first_event_ms,
            interval_us: sum.checked_div(measured as u64).unwrap_or(0) as u32,
            events: self.events,
        })
    }

    /// Returns the time that the awaited event has taken until now.
    fn late_sample(&mut self, now: Instant) -> Option<Sample> {
        if self.reports >= MAX_REPORTS {
            return None;
        }
        self.reports += 1;
        Some(match self.last_event_at {
            None => Sample {
                first_event_ms: now.saturating_duration_since(self.sent_at).as_millis() as u32,
                ..Sample::default()
            },
            Some(last) => {
                let since = last.max(self.waiting_since);
                Sample {
                    first_event_ms: self.first_event_ms,
                    interval_us: now.saturating_duration_since(since).as_micros() as u32,
                    events: self.events,
                }
            }
        })
    }
}
