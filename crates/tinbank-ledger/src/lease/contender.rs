//! Decides when to take, renew and release a lease. Pure: `now` is passed in.

use std::time::{Duration, Instant};

use tinbank_base::{
    id,
    record::{Writer, lease as record},
};

use super::Lease;

/// Timing of leases. Must be the same on all hosts of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Time without a record of the holder after which the process with rank 0 may take the lease.
    pub silence: Duration,
    /// Additional wait for each further rank.
    pub stagger: Duration,
    /// Longest time between two reads of the tail for the time between them to count as silence.
    pub gap: Duration,
    /// Time without a record of its own after which the holder renews.
    pub renew: Duration,
    /// Time after which a record that was not read back is appended again.
    pub retry: Duration,
    /// Time without live work after which the holder releases the lease.
    pub idle: Duration,
    /// Time without rank 0 after which the holder releases the lease to the process that has it.
    pub hand_over: Duration,
    /// Age of the last read of the tail after which the fold is stale. The holder then stops renewing, and releases the
    /// lease if the log still accepts its appends. Must be well below `silence`, and longer than a read may wait.
    pub stale: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            silence: Duration::from_secs(6),
            stagger: Duration::from_secs(2),
            gap: Duration::from_secs(2),
            renew: Duration::from_secs(2),
            retry: Duration::from_secs(2),
            idle: Duration::from_secs(10),
            hand_over: Duration::from_secs(10),
            stale: Duration::from_secs(3),
        }
    }
}

/// Local state that decides whether the process should hold the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Want {
    /// Rank of this process for the shard in rendezvous hashing over the live processes, from 0. `None` if it may not
    /// own the shard.
    pub rank: Option<u32>,
    /// Whether the shard has live work ([`crate::shard::Shard::live`], or records about to be appended).
    pub live: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Number of items of the shard that this process has in flight.
    pub in_flight: usize,
}

/// Action to take now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing: the lease is not held.
    Wait,
    /// The lease is held: continue.
    Hold,
    /// The lease is held and will be released: start no more items.
    Drain,
    /// Append this record.
    Append(record::Lease),
}

/// Takes, renews and releases a shard's lease on behalf of one process.
#[derive(Clone, Debug)]
pub struct Contender {
    me: Writer,
    timings: Timings,
    /// [`Lease::last`] at the last observed read.
    last_seen: Option<id::Offset>,
    /// When `last_seen` changed, by the local clock.
    changed_at: Option<Instant>,
    /// Start of the period in which every read reached the tail and found no record of the holder.
    silent_since: Option<Instant>,
    /// Last read, if it reached the tail.
    at_tail: Option<Instant>,
    /// Last read that reached the tail, even if later ones did not.
    current_at: Option<Instant>,
    /// When the log last acknowledged an append of this process.
    appended_at: Option<Instant>,
    read_stalled_since: Option<Instant>,
    /// [`Lease::last`] when a record was last appended, and when the append may be repeated if `last` is unchanged.
    retry: Option<(Option<id::Offset>, Instant)>,
    idle_since: Option<Instant>,
    outranked_since: Option<Instant>,
}

impl Contender {
    pub fn new(me: Writer, timings: Timings) -> Self {
        Self {
            me,
            timings,
            last_seen: None,
            changed_at: None,
            silent_since: None,
            at_tail: None,
            current_at: None,
            appended_at: None,
            read_stalled_since: None,
            retry: None,
            idle_since: None,
            outranked_since: None,
        }
    }

    /// Records the end of a read, after its records were folded. `at_tail` is `false` for a failed read, and for one
    /// that more records follow.
    ///
    /// Only the time between two reads of the tail counts as silence: during an outage of the log no holder can renew,
    /// so no lease may expire.
    pub fn observe_tail(&mut self, lease: &Lease, at_tail: bool, now: Instant) {
        let changed = lease.last != self.last_seen || self.changed_at.is_none();
        if changed {
            self.last_seen = lease.last;
            self.changed_at = Some(now);
        }
        if !at_tail {
            self.at_tail = None;
            self.silent_since = None;
            return;
        }
        let contiguous = self
            .at_tail
            .is_some_and(|before| now.saturating_duration_since(before) <= self.timings.gap);
        if changed || !contiguous || self.silent_since.is_none() {
            self.silent_since = Some(now);
        }
        self.at_tail = Some(now);
        self.current_at = Some(now);
    }

    /// Records that the log acknowledged an append of this process to the shard.
    pub fn observe_append(&mut self, now: Instant) {
        self.appended_at = Some(now);
    }

    /// Returns whether the last read of the tail is too long ago to rely on the fold.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.current_at
            .is_some_and(|current| now.saturating_duration_since(current) > self.timings.stale)
    }

    /// Returns whether the fold is stale although the log accepts appends. Other processes may then be able to read the
    /// log, and one of them should hold the lease. In an outage of the log no append is acknowledged.
    pub fn is_read_stalled(&self, now: Instant) -> bool {
        let (Some(current), Some(appended)) = (self.current_at, self.appended_at) else {
            return false;
        };
        // An append acknowledged soon after the last read of the tail may not have had time to be read back.
        let appends_succeed = appended.saturating_duration_since(current) > self.timings.stale / 2;
        appends_succeed && self.is_stale(now)
    }

    /// Returns the action to take now.
    pub fn step(&mut self, lease: &Lease, want: Want, now: Instant) -> Step {
        match lease.term(self.me) {
            Some(epoch) => self.hold(lease, epoch, want, now),
            None => self.contend(lease, want, now),
        }
    }

    fn hold(&mut self, lease: &Lease, epoch: id::Epoch, want: Want, now: Instant) -> Step {
        // A contender created while the process holds the lease gets the full `stale` time to reach the tail.
        self.current_at.get_or_insert(now);
        let stalled_now = self.is_read_stalled(now);
        let stalled = has_lasted(
            &mut self.read_stalled_since,
            stalled_now,
            self.timings.stale / 4,
            now,
        );
        if self.is_stale(now) && !stalled {
            return Step::Hold;
        }
        if stalled {
            return self.hold_read_stalled(lease, epoch, want, now);
        }
        let idle = has_lasted(&mut self.idle_since, !want.live, self.timings.idle, now);
        let outranked = want.rank.is_some_and(|rank| rank > 0);
        let hand_over = has_lasted(
            &mut self.outranked_since,
            outranked,
            self.timings.hand_over,
            now,
        );
        if idle || want.stopping || hand_over {
            if want.in_flight > 0 {
                return self.renew(lease, epoch, now).unwrap_or(Step::Drain);
            }
            let release = record::Lease::Release { epoch };
            return self.append(lease, release, now).unwrap_or(Step::Drain);
        }
        self.renew(lease, epoch, now).unwrap_or(Step::Hold)
    }

    /// Releases the lease explicitly: it would not expire, since any acknowledged append of the holder renews it.
    fn hold_read_stalled(
        &mut self,
        lease: &Lease,
        epoch: id::Epoch,
        want: Want,
        now: Instant,
    ) -> Step {
        if want.in_flight > 0 {
            return Step::Drain;
        }
        let release = record::Lease::Release { epoch };
        self.append(lease, release, now).unwrap_or(Step::Drain)
    }

    fn renew(&mut self, lease: &Lease, epoch: id::Epoch, now: Instant) -> Option<Step> {
        let changed_at = *self.changed_at.get_or_insert(now);
        if now.saturating_duration_since(changed_at) < self.timings.renew {
            return None;
        }
        self.append(lease, record::Lease::Renew { epoch }, now)
    }

    fn contend(&mut self, lease: &Lease, want: Want, now: Instant) -> Step {
        self.idle_since = None;
        self.outranked_since = None;
        let Some(rank) = want.rank else {
            return Step::Wait;
        };
        if want.stopping || !want.live || !self.may_take(lease, rank, now) {
            return Step::Wait;
        }
        let take = record::Lease::Take {
            epoch: lease.epoch.saturating_add(1),
            expected: lease.last,
        };
        self.append(lease, take, now).unwrap_or(Step::Wait)
    }

    fn may_take(&self, lease: &Lease, rank: u32, now: Instant) -> bool {
        let fresh = self
            .at_tail
            .is_some_and(|at| now.saturating_duration_since(at) <= self.timings.gap);
        // Differs while the records of a page are folded and `observe_tail` was not called for it yet.
        let observed = lease.last == self.last_seen;
        let Some(silent_since) = self.silent_since.filter(|_| fresh && observed) else {
            return false;
        };
        let expiry = match lease.holder {
            Some(_) => self.timings.silence,
            None => Duration::ZERO,
        };
        let wait = expiry + self.timings.stagger * rank;
        now.saturating_duration_since(silent_since) >= wait
    }

    fn append(&mut self, lease: &Lease, record: record::Lease, now: Instant) -> Option<Step> {
        if let Some((last, until)) = self.retry
            && last == lease.last
            && now < until
        {
            return None;
        }
        self.retry = Some((lease.last, now + self.timings.retry));
        Some(Step::Append(record))
    }
}

/// Returns whether `condition` has been true for at least `duration`. `since` stores when it became true.
fn has_lasted(
    since: &mut Option<Instant>,
    condition: bool,
    duration: Duration,
    now: Instant,
) -> bool {
    if !condition {
        *since = None;
        return false;
    }
    let since = *since.get_or_insert(now);
    now.saturating_duration_since(since) >= duration
}
