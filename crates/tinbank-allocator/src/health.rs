//! What the outcomes of requests say about one upstream.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use smallvec::SmallVec;

use crate::lease::Outcome;

/// Two hosts have to report trouble within this time, so that one bad host or link ejects nobody for all.
const AGREEMENT: Duration = Duration::from_secs(2);
/// Weight of the newest request in the share of failures, one part in so many.
const SMOOTHING: u32 = 8;
/// Share of failures from which an upstream is in trouble, in permille: two in a row where all was well before. Links that
/// lose one packet in forty stay far below.
const TROUBLED: u32 = 230;
/// First time for which an upstream gets no request. Doubled with each further ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest time without a request, after which one is tried again.
const LONGEST_EJECTION: Duration = Duration::from_secs(8);

/// Recent trouble at an upstream.
#[derive(Debug, Default)]
pub(crate) struct Health {
    reports: SmallVec<[Report; 4]>,
    /// Smoothed share of requests that failed, in permille.
    failing: u32,
    ejected_until: Option<Instant>,
    ejections: u32,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    by: SocketAddr,
    at: Instant,
}

impl Health {
    /// Takes in how a request of a host ended. True if the upstream is ejected by it, which it is only if it may.
    pub fn note(
        &mut self,
        by: SocketAddr,
        outcome: Outcome,
        may_eject: bool,
        now: Instant,
    ) -> bool {
        match outcome {
            // A full upstream refuses, and to eject it would only load the others more.
            Outcome::Inconclusive | Outcome::Leaving | Outcome::Refused => false,
            Outcome::Served => {
                self.failing -= self.failing / SMOOTHING;
                self.reports.retain(|report| report.by != by);
                if !self.ejected(now) {
                    self.ejections = 0;
                }
                false
            }
            Outcome::Failed | Outcome::Unresponsive => self.trouble(by, may_eject, now),
        }
    }

    pub fn ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn trouble(&mut self, by: SocketAddr, may_eject: bool, now: Instant) -> bool {
        self.reports
            .retain(|report| report.by != by && now < report.at + AGREEMENT);
        self.reports.push(Report { by, at: now });
        self.failing += (1_000 - self.failing) / SMOOTHING;
        let agreed = self.reports.len() >= 2 && self.failing >= TROUBLED;
        if !agreed || self.ejected(now) || !may_eject {
            return false;
        }
        let time = FIRST_EJECTION * 2u32.saturating_pow(self.ejections);
        self.ejected_until = Some(now + time.min(LONGEST_EJECTION));
        self.ejections += 1;
        self.reports.clear();
        true
    }
}
