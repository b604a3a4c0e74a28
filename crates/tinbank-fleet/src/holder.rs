//! Our part in the lease of the order holder: the fold of the `fleet` stream and the term we may give orders under.
//!
//! The stream is trimmed and has no checkpoints, so which take counts may not depend on what came long before: a take
//! counts if it stands right behind the last entry that its writer had read, of whatever kind. Its number is that of
//! its place. All readers judge it alike, wherever they began. See `docs/design/fleet.md`.

use std::time::{Duration, Instant};

use tinbank_base::{
    id,
    record::{Envelope, Writer, lease as record},
};
use tinbank_ledger::lease::{self, Change, Contender, Lease, Step, Timings, Want};
use tinbank_log::fold::Dedupe;

use crate::plan;

/// Part of the lease's silence after which the holder stops by itself.
const STOP_AFTER_PART: u32 = 2;
/// Stands for the holder that a trimmed stream may have: a tool never holds the lease. Its silence is counted like
/// that of a holder that is known.
const UNKNOWN: Writer = Writer {
    process: id::Process {
        host: id::Host::MAX,
        role: id::Role::Tool,
    },
    incarnation: 0,
};

/// State of the lease as this process reads it.
#[derive(Debug)]
pub struct Holder {
    me: Writer,
    silence: Duration,
    lease: Lease,
    /// Tells copies of our own envelopes: one that comes late proves nothing about a newer step. No take is judged by it.
    dedupe: Dedupe,
    contender: Contender,
    fence: Option<id::Fence>,
    /// When the oldest of our steps that was not read back yet was given.
    outstanding: Option<Instant>,
    /// We held the lease at this time at the earliest; nobody's silence can have begun before it.
    proven: Option<Instant>,
}

impl Holder {
    /// A process that has read nothing yet.
    pub fn new(me: Writer, terms: Timings) -> Self {
        Self {
            me,
            silence: terms.silence,
            lease: Lease::default(),
            dedupe: Dedupe::default(),
            contender: Contender::new(me, terms),
            fence: None,
            outstanding: None,
            proven: None,
        }
    }

    /// Takes in the next envelope of the stream and returns what it changed.
    pub fn read(
        &mut self,
        offset: id::Offset,
        envelope: &Envelope<record::Lease>,
    ) -> Option<Change> {
        self.stand_at(offset);
        let mut change = None;
        for record in &envelope.records {
            change = self
                .lease
                .apply(offset, envelope.writer, *record)
                .or(change);
        }
        self.pass(offset);
        let new = self.dedupe.admit(envelope.writer, envelope.sequence);
        if new && envelope.writer == self.me {
            self.proven = self.outstanding.take().or(self.proven);
        }
        if let Some(Change::Taken(_)) = change {
            self.fence = Some(offset);
        }
        change
    }

    /// Takes in an entry that can't be decoded, perhaps one of a later version: takes count behind it as well.
    pub fn skip(&mut self, offset: id::Offset) {
        self.pass(offset);
    }

    /// Takes in that the stream now begins at `first`, past what we have read. Somebody may hold the lease, and it is not us
    /// any more: what we have not read may have been another's take.
    pub fn trimmed(&mut self, first: id::Offset) {
        self.stand_at(first);
        self.lease.holder = Some(lease::Holder {
            writer: UNKNOWN,
            epoch: 0,
        });
        self.fence = None;
        self.outstanding = None;
        self.proven = None;
    }

    /// The next entry is the one at `offset`: a take there has to name the one before it.
    fn stand_at(&mut self, offset: id::Offset) {
        self.lease.last = offset.checked_sub(1);
        self.lease.epoch = offset;
    }

    fn pass(&mut self, offset: id::Offset) {
        self.stand_at(offset.saturating_add(1));
    }

    /// Takes in the end of a read.
    pub fn read_end(&mut self, at_tail: bool, now: Instant) {
        self.contender.observe_tail(&self.lease, at_tail, now);
    }

    /// What to append now.
    pub fn step(&mut self, want: Want, now: Instant) -> Step {
        let step = self.contender.step(&self.lease, want, now);
        if let Step::Append(_) = step {
            self.outstanding = self.outstanding.or(Some(now));
        }
        step
    }

    /// The term that we may give orders under, if we hold the lease.
    ///
    /// It ends well before another may take the lease: a contender counts the whole silence from when it read a
    /// record of ours, which is after we gave it.
    pub fn term(&self) -> Option<plan::Term> {
        self.lease.term(self.me)?;
        Some(plan::Term {
            fence: self.fence?,
            stop_at: self.proven? + self.silence / STOP_AFTER_PART,
        })
    }

    /// Who holds the lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }
}
