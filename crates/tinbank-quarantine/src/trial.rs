//! Trials of what is quarantined: one request at a time may show that it is sound, or that its upstreams were mended.

use std::time::{Duration, Instant};

use crate::Source;

/// Largest part of the delay that a host adds to it, so that not all hosts begin a trial at once.
const MAX_JITTER: f64 = 0.25;
/// Further share of the jitter of a host that has begun a trial without an outcome, so that it goes behind all others.
const LAST_IN_TURN: f64 = 1.5;
/// How long a host may begin a trial before it is the turn of others. Longer than they take to learn that it did.
const TURN: Duration = Duration::from_millis(300);
/// Time between two turns of a host. Long enough that a few hosts at most have their turns together.
const TURN_INTERVAL: Duration = Duration::from_millis(4_800);

/// How long to wait before each trial. Each that fails costs the answers of all requests that an upstream runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// Delay before the first trial.
    first: Duration,
    /// Factor by which the delay grows with each trial that crashes an upstream.
    backoff: u32,
    /// Longest delay.
    max: Duration,
    /// Whether hosts take turns to begin a trial. Otherwise all may until one does, and copies of a request at several hosts are trials
    /// all at once.
    takes_turns: bool,
}

impl Schedule {
    /// Of a part of prompts, for requests of callers. The longest delay is shorter than the time for which a part stays quarantined without
    /// a crash, so that it is tried before that ends.
    pub(crate) const PART: Self = Self {
        first: Duration::from_secs(2),
        backoff: 8,
        max: Duration::from_secs(12 * 60 * 60),
        takes_turns: true,
    };
    /// Of an item, and of a part for items. They have been accepted and are not the cause of the crashes, so they may not wait much longer
    /// than these go on.
    pub(crate) const ITEM: Self = Self {
        first: Duration::from_secs(2),
        backoff: 2,
        max: Duration::from_secs(10),
        takes_turns: false,
    };
}

/// The trials of a part, by what may begin them. Items do not wait for those of callers, which become rare.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartTrials {
    /// Trials by requests of callers.
    pub callers: Trials,
    /// Trials by items.
    items: Trials,
}

impl PartTrials {
    /// Creates the trials of a host after some by callers that failed.
    pub(crate) fn new(failed: u32, jitter: f64, now: Instant) -> Self {
        Self {
            callers: Trials::new(Schedule::PART, failed, jitter, now),
            items: Trials::new(Schedule::ITEM, 0, jitter, now),
        }
    }

    pub(crate) fn of(&self, source: Source) -> &Trials {
        match source {
            Source::Caller => &self.callers,
            Source::Item => &self.items,
        }
    }

    pub(crate) fn of_mut(&mut self, source: Source) -> &mut Trials {
        match source {
            Source::Caller => &mut self.callers,
            Source::Item => &mut self.items,
        }
    }
}

/// The trials of an item or a part by one kind of source.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trials {
    schedule: Schedule,
    /// Number of trials that crashed an upstream.
    pub failed: u32,
    /// When the next trial may begin at some host.
    open_at: Instant,
    /// When it may first begin at this host.
    next_at: Instant,
    /// Whether one has begun since the last crash, and when this host might have begun it.
    running: Option<Began>,
    /// Whether this host has begun one since the last crash.
    was_begun_here: bool,
    /// This host's share of the largest jitter, or of the time between two turns.
    jitter: f64,
}

/// A trial that was begun.
#[derive(Clone, Copy, Debug)]
struct Began {
    open_at: Instant,
    next_at: Instant,
}

impl Trials {
    /// Creates the trials of a host after some that failed. `jitter` is its share of the largest jitter, from 0 to 1.
    pub(crate) fn new(schedule: Schedule, failed: u32, jitter: f64, now: Instant) -> Self {
        let mut trials = Self {
            schedule,
            failed,
            open_at: now,
            next_at: now,
            running: None,
            was_begun_here: false,
            jitter,
        };
        trials.postpone(now);
        trials
    }

    /// Returns from when on this host may begin the next trial: `now` or earlier if it may do so now.
    pub(crate) fn due_at(&self, now: Instant) -> Instant {
        let late = now.saturating_duration_since(self.next_at);
        if !self.schedule.takes_turns || late.is_zero() {
            return self.next_at;
        }
        let interval = TURN_INTERVAL.as_nanos();
        let in_turn = Duration::from_nanos((late.as_nanos() % interval) as u64);
        match in_turn < TURN {
            true => now,
            false => now + (TURN_INTERVAL - in_turn),
        }
    }

    /// Records that this host begins a trial. Others go first if it has no outcome.
    pub(crate) fn begin_here(&mut self, now: Instant) {
        self.was_begun_here = true;
        self.begin(now);
    }

    /// Records that a trial begins, here or at another host. The next one follows later if nothing is heard of this one.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.running = Some(Began {
            open_at: self.open_at,
            next_at: self.next_at,
        });
        self.postpone(now);
    }

    /// Records that the trial that this host began did not run, so that another request may try at once.
    pub(crate) fn withdraw(&mut self) {
        if let Some(Began { open_at, next_at }) = self.running.take() {
            self.open_at = open_at;
            self.next_at = next_at;
        }
    }

    /// Returns whether a trial has begun since the last crash.
    pub(crate) fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Records one more crash, which was a trial unless its request was sent before the quarantine.
    pub(crate) fn record_crash(&mut self, now: Instant) {
        // Another host may have begun a trial without this one knowing.
        let was_trial = self.is_running() || now >= self.open_at;
        self.failed += u32::from(was_trial);
        // The next trial waits for as long as this outcome demands, not for as long as it takes to miss one.
        self.withdraw();
        self.was_begun_here = false;
        self.postpone(now);
    }

    /// Applies the number of failed trials that another host has stored.
    pub(crate) fn merge(&mut self, failed: u32, now: Instant) {
        if failed > self.failed {
            self.failed = failed;
            self.postpone(now);
        }
    }

    /// Puts the next trial off for as long as the failed ones demand.
    fn postpone(&mut self, now: Instant) {
        let Schedule {
            first,
            backoff,
            max,
            takes_turns,
        } = self.schedule;
        let delay = first.saturating_mul(backoff.saturating_pow(self.failed));
        let delay = delay.min(max);
        let jitter = match takes_turns {
            true => TURN_INTERVAL.mul_f64(self.jitter),
            false => {
                let last = f64::from(u8::from(self.was_begun_here)) * LAST_IN_TURN;
                delay.mul_f64(MAX_JITTER * (self.jitter + last))
            }
        };
        self.open_at = self.open_at.max(now + delay);
        self.next_at = self.next_at.max(now + delay + jitter);
    }
}
