//! The lease for sending orders: folds the `fleet` stream and determines the term of this process.
//!
//! The stream is trimmed and has no checkpoints, so the validity of a take, the record by which a process takes the lease,
//! must not depend on much older entries. A take is valid if it directly follows the last entry, of any kind, that its
//! writer had read. Its epoch is derived from its offset. Readers reach the same result wherever they begin. See `docs/design/fleet.md`.

use std::time::{Duration, Instant};

use tinbank_base::{
    id,
    record::{Envelope, Writer, lease as record},
};
use tinbank_ledger::lease::{self, Change, Contender, Lease, Step, Timings, Want};
use tinbank_log::fold::Dedupe;

use crate::plan;

/// The holder stops sending orders after the lease's silence period divided by this.
const STOP_DIVISOR: u32 = 2;
/// Placeholder for a possible holder whose take was trimmed. No real holder has this identity, as tools never hold the
/// lease. Its silence is measured like that of a known holder.
const UNKNOWN_HOLDER: Writer = Writer {
    process: id::Process {
        host: id::Host::MAX,
        role: id::Role::Tool,
    },
    incarnation: 0,
};

/// The lease as this process has read it, and its own attempts to take or renew it.
#[derive(Debug)]
pub struct LeaseState {
    own_writer: Writer,
    silence: Duration,
    lease: Lease,
    /// Detects duplicates of own envelopes, which must not confirm a newer step. Not used to validate takes.
    dedupe: Dedupe,
    contender: Contender,
    fence: Option<id::Fence>,
    /// Time of the oldest own step since the last one was read back.
    oldest_pending_step: Option<Instant>,
    /// Time of the latest own step that is known to have been read back. Contenders measure the silence from a later time.
    confirmed_at: Option<Instant>,
}

impl LeaseState {
    /// Creates the state of a process that has read nothing yet.
    pub fn new(own_writer: Writer, terms: Timings) -> Self {
        Self {
            own_writer,
            silence: terms.silence,
            lease: Lease::default(),
            dedupe: Dedupe::default(),
            contender: Contender::new(own_writer, terms),
            fence: None,
            oldest_pending_step: None,
            confirmed_at: None,
        }
    }

    /// Applies the next envelope of the stream and returns the resulting change of the holder.
    pub fn apply(
        &mut self,
        offset: id::Offset,
        envelope: &Envelope<record::Lease>,
    ) -> Option<Change> {
        self.set_next_offset(offset);
        let mut change = None;
        for record in &envelope.records {
            change = self
                .lease
                .apply(offset, envelope.writer, *record)
                .or(change);
        }
        self.advance_past(offset);
        let new = self.dedupe.admit(envelope.writer, envelope.sequence);
        if new && envelope.writer == self.own_writer {
            self.confirmed_at = self.oldest_pending_step.take().or(self.confirmed_at);
        }
        if let Some(Change::Taken(_)) = change {
            self.fence = Some(offset);
        }
        change
    }

    /// Skips an entry that cannot be decoded, for example one of a later version. A take may directly follow it.
    pub fn skip(&mut self, offset: id::Offset) {
        self.advance_past(offset);
    }

    /// Records that unread entries before `first` were trimmed. One of them may have been the take of another process, so
    /// this process no longer holds the lease, and an unknown process may hold it.
    pub fn on_trimmed(&mut self, first: id::Offset) {
        self.set_next_offset(first);
        self.lease.holder = Some(lease::Holder {
            writer: UNKNOWN_HOLDER,
            epoch: 0,
        });
        self.fence = None;
        self.oldest_pending_step = None;
        self.confirmed_at = None;
    }

    /// Sets the offset of the next entry. A take there has to name the entry before it.
    fn set_next_offset(&mut self, offset: id::Offset) {
        self.lease.last = offset.checked_sub(1);
        self.lease.epoch = offset;
    }

    fn advance_past(&mut self, offset: id::Offset) {
        self.set_next_offset(offset.saturating_add(1));
    }

    /// Records the end of a read, successful up to the tail or not.
    pub fn on_read_end(&mut self, at_tail: bool, now: Instant) {
        self.contender.observe_tail(&self.lease, at_tail, now);
    }

    /// Returns what to do next.
    pub fn step(&mut self, want: Want, now: Instant) -> Step {
        let step = self.contender.step(&self.lease, want, now);
        if let Step::Append(_) = step {
            self.oldest_pending_step = self.oldest_pending_step.or(Some(now));
        }
        step
    }

    /// Returns the term in which this process may send orders, if it holds the lease.
    ///
    /// The term ends well before another process may take the lease: a contender measures the silence from when it reads
    /// the last record of the holder, which is later than the step that appended it.
    pub fn term(&self) -> Option<plan::Term> {
        self.lease.term(self.own_writer)?;
        Some(plan::Term {
            fence: self.fence?,
            stop_at: self.confirmed_at? + self.silence / STOP_DIVISOR,
        })
    }

    /// Returns the lease with its current holder.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }
}
