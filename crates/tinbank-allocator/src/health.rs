//! Health of one upstream, derived from the outcomes of requests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use smallvec::SmallVec;

use crate::lease::Outcome;

/// Time within which two hosts must report a failure, so that one bad host or link cannot eject an upstream for all.
const REPORT_WINDOW: Duration = Duration::from_secs(2);
/// The newest request has a weight of one in this many in the smoothed failure rate.
const SMOOTHING: u32 = 8;
/// Failure rate, in permille, from which an upstream may be ejected: reached by two consecutive failures of a healthy
/// one, but not by ordinary packet loss.
const FAILURE_THRESHOLD: u32 = 230;
/// Duration of the first ejection, doubled with each further one.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Upper bound of an ejection's duration.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Recent failures of an upstream.
#[derive(Debug, Default)]
pub(crate) struct Health {
    reports: SmallVec<[FailureReport; 4]>,
    /// Smoothed failure rate, in permille.
    failure_rate: u32,
    ejected_until: Option<Instant>,
    ejections: u32,
}

#[derive(Clone, Copy, Debug)]
struct FailureReport {
    by: SocketAddr,
    at: Instant,
}

impl Health {
    /// Records the outcome of a host's request. Returns whether it ejects the upstream, which requires `may_eject`.
    pub fn record_outcome(
        &mut self,
        by: SocketAddr,
        outcome: Outcome,
        may_eject: bool,
        now: Instant,
    ) -> bool {
        match outcome {
            // A full upstream refuses requests; ejecting it would only put more load on the others.
            Outcome::Inconclusive | Outcome::Leaving(_) | Outcome::Refused => false,
            Outcome::Served => {
                self.failure_rate -= self.failure_rate / SMOOTHING;
                self.reports.retain(|report| report.by != by);
                if !self.is_ejected(now) {
                    self.ejections = 0;
                }
                false
            }
            Outcome::Failed | Outcome::Unresponsive => self.record_failure(by, may_eject, now),
        }
    }

    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn record_failure(&mut self, by: SocketAddr, may_eject: bool, now: Instant) -> bool {
        self.reports
            .retain(|report| report.by != by && now < report.at + REPORT_WINDOW);
        self.reports.push(FailureReport { by, at: now });
        self.failure_rate += (1_000 - self.failure_rate) / SMOOTHING;
        let is_unhealthy = self.reports.len() >= 2 && self.failure_rate >= FAILURE_THRESHOLD;
        if !is_unhealthy || self.is_ejected(now) || !may_eject {
            return false;
        }
        let time = MIN_EJECTION * 2u32.saturating_pow(self.ejections);
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
        self.ejections += 1;
        self.reports.clear();
        true
    }
}
