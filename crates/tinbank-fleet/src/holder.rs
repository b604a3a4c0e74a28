//! Our part in the lease of the order holder: the fold of the `fleet` stream and the term we may give orders under.

use std::time::{Duration, Instant};

use tinbank_base::{
    id,
    record::{Envelope, Writer, lease as record},
};
use tinbank_ledger::lease::{Change, Contender, Lease, Step, Terms, Want};
use tinbank_log::fold::Dedupe;

use crate::plan;

/// Part of the lease's silence after which the holder stops by itself.
const STOP_AFTER_PART: u32 = 2;

/// State of the lease as this process reads it.
#[derive(Debug)]
pub struct Holder {
    me: Writer,
    silence: Duration,
    lease: Lease,
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
    pub fn new(me: Writer, terms: Terms) -> Self {
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
        if !self.dedupe.admit(envelope.writer, envelope.sequence) {
            return None;
        }
        let mut change = None;
        for record in &envelope.records {
            change = self
                .lease
                .apply(offset, envelope.writer, *record)
                .or(change);
        }
        self.lease.heard(envelope.writer, offset);
        if envelope.writer == self.me {
            self.proven = self.outstanding.take().or(self.proven);
        }
        if let Some(Change::Taken(_)) = change {
            self.fence = Some(offset);
        }
        change
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
