//! Periods in which the platform's store answered reads of a list, as far as this host and the hosts that it follows know.
//!
//! A host that got no answer for a while can't tell an outage of the store, in which entries of healthy upstreams lapse, from a
//! fault of its own: a pause of the process, a refusal of single hosts, a lost path. Another host that was answered meanwhile
//! can. See `docs/design/store-contact.md`.

use std::time::{Duration, Instant};

use crate::listing::RENEWAL_TIME;

/// Longest time between two answers of a reachable store: a read that waits for changes, its answer and the pause before the
/// next read.
pub const MAX_ANSWER_GAP: Duration = Duration::from_millis(2_200);

/// A period in which the store answered one host without a gap, or several hosts one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Period {
    /// First answer.
    pub since: Instant,
    /// Last answer.
    pub until: Instant,
}

impl Period {
    /// Returns whether the store answered in both periods at the same time. Periods that only touch are not known to be one: the
    /// second may begin with the first answer after an outage.
    fn overlaps(&self, other: &Self) -> bool {
        self.since < other.until && other.since < self.until
    }

    fn union(&self, other: &Self) -> Self {
        Self {
            since: self.since.min(other.since),
            until: self.until.max(other.until),
        }
    }

    /// Returns this period, extended by another one if they overlap.
    fn extended_by(self, other: &Self) -> Self {
        match self.overlaps(other) {
            true => self.union(other),
            false => self,
        }
    }
}

/// What a host knows of the availability of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    /// The current or latest period in which the store answered this host.
    own: Option<Period>,
    /// Whether a read of this host has failed since its last answer.
    has_failed: bool,
    /// The latest period in which the store answered other hosts, according to them.
    reported: Option<Period>,
    /// The period at whose end the list was read from the store, by this host or by the one that sent it.
    list_read: Option<Period>,
}

impl StoreContact {
    /// Records an answer to this host, and that the list is the one of this answer. A new period begins after a gap, and also with
    /// the first answer: most hosts begin to read because their delegates became silent, which is the case in an outage.
    pub fn record_answer(&mut self, now: Instant) {
        let continued = self
            .own
            .filter(|own| !self.has_failed && now <= own.until + MAX_ANSWER_GAP);
        let since = continued.map_or(now, |own| own.since);
        self.own = Some(Period { since, until: now });
        self.has_failed = false;
        self.list_read = self.own;
    }

    /// Records that a read of this host got no answer.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Returns whether the last read of this host was answered.
    pub fn is_answered(&self) -> bool {
        self.own.is_some() && !self.has_failed
    }

    /// Records a period that another host reported. One that ended before the latest known one adds nothing to it.
    pub fn record_report(&mut self, period: Period) {
        self.reported = Some(match self.reported {
            Some(known) if known.overlaps(&period) => known.union(&period),
            Some(known) if known.until > period.until => known,
            _ => period,
        });
    }

    /// Records that the list is one that another host has read at the end of `period`, or at an unknown time.
    pub fn record_received_list(&mut self, period: Option<Period>) {
        if let Some(period) = period {
            self.record_report(period);
        }
        self.list_read = period;
    }

    /// Returns the period without a gap at whose end the list was read; `None` if that is not known.
    pub fn before_list(&self) -> Option<Period> {
        let list_read = self.list_read?;
        let periods = [self.reported, self.own];
        let periods = periods.iter().flatten();
        let union = periods.fold(list_read, |union, it| union.extended_by(it));
        Some(Period {
            since: union.since,
            until: list_read.until,
        })
    }

    /// Returns whether entries that are absent from the list were removed, and did not lapse in an outage.
    pub fn is_list_reliable(&self) -> bool {
        let before_list = self.before_list();
        before_list.is_some_and(|it| it.since + RENEWAL_TIME <= it.until)
    }

    /// Returns from when on a list that is read can be relied on, if the store keeps answering.
    pub fn reliable_from(&self) -> Option<Instant> {
        self.before_list().map(|it| it.since + RENEWAL_TIME)
    }

    /// Returns from when on the list can be relied on, if the store answers from now on; `None` if it can be.
    pub fn unreliable_until(&self, now: Instant) -> Option<Instant> {
        if self.is_list_reliable() {
            return None;
        }
        let from = self.reliable_from();
        Some(from.map_or(now + RENEWAL_TIME, |from| from.max(now)))
    }
}
