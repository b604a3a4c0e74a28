//! When to take, renew and give back a lease. Pure: `now` is passed in.

use std::time::{Duration, Instant};

use tinbank_base::{
    id,
    record::{Writer, lease as record},
};

use super::Lease;

/// Times that a lease is held by; the same on all hosts of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Silence after which the first in rank may take another's lease.
    pub silence: Duration,
    /// How much longer each next in rank waits.
    pub stagger: Duration,
    /// Reads at the tail that are further apart than this do not add up to silence.
    pub gap: Duration,
    /// A holder that appended nothing for so long renews.
    pub renew: Duration,
    /// A step whose record has not been read back after so long is given again.
    pub retry: Duration,
    /// A holder without live work for so long gives the lease back.
    pub idle: Duration,
    /// A holder that has not been first in rank for so long hands the lease over.
    pub hand_over: Duration,
    /// A holder that has not been at the tail for so long goes by a fold that is too old: it renews no more, and gives
    /// the lease back if the log goes on taking its appends. Well below `silence`, and longer than a read waits.
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

/// What the process wants of the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Want {
    /// Our place in the rendezvous rank of live processes for this shard, from 0; `None`: not among those that may own it.
    pub rank: Option<u32>,
    /// Whether the shard has live work ([`crate::shard::Shard::live`], or records about to be appended).
    pub live: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Items of the shard that are in flight here.
    pub in_flight: usize,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// We hold the lease; go on.
    Hold,
    /// We hold the lease and are about to give it back: start no more items.
    Drain,
    /// Append this record.
    Append(record::Lease),
}

/// One process's part in the life of a shard's lease.
#[derive(Clone, Debug)]
pub struct Contender {
    me: Writer,
    terms: Timings,
    seen: Option<id::Offset>,
    /// When the lease's last record changed, as read here.
    changed: Option<Instant>,
    /// Since when the reads reached the tail and showed no record of the holder.
    quiet: Option<Instant>,
    /// The last read that reached the tail.
    at_tail: Option<Instant>,
    /// The last read that reached the tail, also when later ones failed.
    current: Option<Instant>,
    /// When an append of ours was last acknowledged.
    appended: Option<Instant>,
    /// Since when we have been seen to be deaf.
    deaf: Option<Instant>,
    /// A step given at that place is not given again before then.
    retry: Option<(Option<id::Offset>, Instant)>,
    idle: Option<Instant>,
    passed_over: Option<Instant>,
}

impl Contender {
    /// A contender that has read nothing yet.
    pub fn new(me: Writer, terms: Timings) -> Self {
        Self {
            me,
            terms,
            seen: None,
            changed: None,
            quiet: None,
            at_tail: None,
            current: None,
            appended: None,
            deaf: None,
            retry: None,
            idle: None,
            passed_over: None,
        }
    }

    /// Takes in the end of a read, after its records went through the fold: whether it reached the tail. A failed
    /// read, or one that more records follow, has `at_tail: false`.
    ///
    /// Silence is only counted from one read at the tail to the next: during an outage nobody can renew, so
    /// nobody expires.
    pub fn observe_tail(&mut self, lease: &Lease, at_tail: bool, now: Instant) {
        let news = lease.last != self.seen || self.changed.is_none();
        if news {
            self.seen = lease.last;
            self.changed = Some(now);
        }
        if !at_tail {
            self.at_tail = None;
            self.quiet = None;
            return;
        }
        let joined = self
            .at_tail
            .is_some_and(|before| now.saturating_duration_since(before) <= self.terms.gap);
        if news || !joined || self.quiet.is_none() {
            self.quiet = Some(now);
        }
        self.at_tail = Some(now);
        self.current = Some(now);
    }

    /// Takes in that the log acknowledged an append of ours to the shard.
    pub fn observe_append(&mut self, now: Instant) {
        self.appended = Some(now);
    }

    /// Whether the last read at the tail is too long ago to go by the fold.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.current
            .is_some_and(|current| now.saturating_duration_since(current) > self.terms.stale)
    }

    /// Whether the fold is stale although the log takes appends: then others may read it, and one of them should have
    /// the lease. In an outage for all this is not so, since no append is acknowledged.
    pub fn is_read_stalled(&self, now: Instant) -> bool {
        let (Some(current), Some(appended)) = (self.current, self.appended) else {
            return false;
        };
        // What was acknowledged soon after the last read at the tail may only be on its way back.
        let proof = appended.saturating_duration_since(current) > self.terms.stale / 2;
        proof && self.is_stale(now)
    }

    /// What to do now.
    pub fn step(&mut self, lease: &Lease, want: Want, now: Instant) -> Step {
        match lease.term(self.me) {
            Some(epoch) => self.hold(lease, epoch, want, now),
            None => self.contend(lease, want, now),
        }
    }

    fn hold(&mut self, lease: &Lease, epoch: id::Epoch, want: Want, now: Instant) -> Step {
        // A contender that began while we held the lease has the same time as others to come to the tail.
        self.current.get_or_insert(now);
        let stalled_now = self.is_read_stalled(now);
        let deaf = for_long(&mut self.deaf, stalled_now, self.terms.stale / 4, now);
        if self.is_stale(now) && !deaf {
            return Step::Hold;
        }
        if deaf {
            return self.hold_deaf(lease, epoch, want, now);
        }
        let idle = for_long(&mut self.idle, !want.live, self.terms.idle, now);
        let passed_over = want.rank.is_some_and(|rank| rank > 0);
        let hand_over = for_long(
            &mut self.passed_over,
            passed_over,
            self.terms.hand_over,
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

    /// Waiting for silence would not do where appends still work, since any envelope of ours renews.
    fn hold_deaf(&mut self, lease: &Lease, epoch: id::Epoch, want: Want, now: Instant) -> Step {
        if want.in_flight > 0 {
            return Step::Drain;
        }
        let release = record::Lease::Release { epoch };
        self.append(lease, release, now).unwrap_or(Step::Drain)
    }

    fn renew(&mut self, lease: &Lease, epoch: id::Epoch, now: Instant) -> Option<Step> {
        let changed = *self.changed.get_or_insert(now);
        if now.saturating_duration_since(changed) < self.terms.renew {
            return None;
        }
        self.append(lease, record::Lease::Renew { epoch }, now)
    }

    fn contend(&mut self, lease: &Lease, want: Want, now: Instant) -> Step {
        self.idle = None;
        self.passed_over = None;
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
            .is_some_and(|at| now.saturating_duration_since(at) <= self.terms.gap);
        // The records of a page were folded but its end was not observed yet.
        let observed = lease.last == self.seen;
        let Some(quiet) = self.quiet.filter(|_| fresh && observed) else {
            return false;
        };
        let held = match lease.holder {
            Some(_) => self.terms.silence,
            None => Duration::ZERO,
        };
        let wait = held + self.terms.stagger * rank;
        now.saturating_duration_since(quiet) >= wait
    }

    fn append(&mut self, lease: &Lease, record: record::Lease, now: Instant) -> Option<Step> {
        if let Some((place, until)) = self.retry
            && place == lease.last
            && now < until
        {
            return None;
        }
        self.retry = Some((lease.last, now + self.terms.retry));
        Some(Step::Append(record))
    }
}

/// Whether `is` has held for `long`; `since` remembers from when on.
fn for_long(since: &mut Option<Instant>, is: bool, long: Duration, now: Instant) -> bool {
    if !is {
        *since = None;
        return false;
    }
    let since = *since.get_or_insert(now);
    now.saturating_duration_since(since) >= long
}
