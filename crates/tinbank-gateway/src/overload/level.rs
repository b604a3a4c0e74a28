//! Decides how much work an overloaded host sheds. Without I/O: measurements in, level out.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Number of measurements that a decision is based on: those of a second. A process that was paused, or handles one large
/// call, has one late tick among them.
const WINDOW: usize = 10;
/// Delay from which on a tick counts as late. A host that is late by more takes an answer of a nearby allocator for lost.
const LATE: Duration = Duration::from_millis(25);
/// Delay up to which a tick counts as punctual.
const PUNCTUAL: Duration = Duration::from_millis(10);
/// Late ticks in the window from which on the host is overloaded.
const MIN_LATE: usize = 5;
/// Ticks in the window that may not be punctual if the host is to take up work again.
const MAX_UNPUNCTUAL: usize = 1;
/// Use of a resource in percent from which on the host is overloaded. Leaves room for what the calls in progress still need.
const HIGH_PERCENT: u32 = 85;
/// Use of a resource in percent below which the host may take up work again.
const LOW_PERCENT: u32 = 75;
/// Use of a resource in percent from which on the host withdraws even if its ticks are punctual. A process that exceeds its
/// memory is killed, and one without descriptors can't serve new calls.
const EXHAUSTED_PERCENT: u32 = 95;
/// Minimum time at a level before the next one, so that a step can show its effect.
const STEP_TIME: Duration = Duration::from_secs(1);
/// Minimum time at [`Level::ClosingConnections`] before the host withdraws: the load balancer spreads new connections over
/// the other hosts meanwhile.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(3);
/// How long the host has to be free of overload before it returns by one level.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Maximum time of a withdrawal. The load balancer notices it after 2 s.
const MAX_WITHDRAWAL: Duration = Duration::from_secs(5);
/// Minimum time from the beginning of a withdrawal to the next one. A host that is out of readiness for an eighth of the time
/// counts as failing its duty; this bounds it to a tenth.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_secs(50);
/// How long measurements are ignored after a pause of the process, in which it handles what has arrived meanwhile.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// How much work a host sheds. Each level includes the ones before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Level {
    /// It takes all work.
    #[default]
    Normal,
    /// It starts no batch items and gives some up.
    FewerItems,
    /// It closes connections of callers after their answers.
    ClosingConnections,
    /// It answers readiness checks with 503.
    Withdrawn,
}

impl Level {
    fn next(self) -> Self {
        match self {
            Self::Normal => Self::FewerItems,
            Self::FewerItems => Self::ClosingConnections,
            Self::ClosingConnections | Self::Withdrawn => Self::Withdrawn,
        }
    }

    fn previous(self) -> Self {
        match self {
            Self::Withdrawn => Self::ClosingConnections,
            Self::ClosingConnections => Self::FewerItems,
            Self::FewerItems | Self::Normal => Self::Normal,
        }
    }
}

/// Measurements of one tick.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sample {
    /// How late the timer ticked, or how long a turn of the event loop took, whichever is longer.
    pub delay: Duration,
    /// Memory in use, in percent of the host's.
    pub memory_percent: u32,
    /// Descriptors that open calls need, in percent of the limit.
    pub descriptor_percent: u32,
    /// Whether the allocator permits this host to withdraw, or to stay withdrawn.
    pub may_withdraw: bool,
    /// Whether the process was paused since the previous tick.
    pub was_paused: bool,
}

impl Sample {
    fn highest_percent(&self) -> u32 {
        self.memory_percent.max(self.descriptor_percent)
    }
}

/// The decision and what it is based on.
#[derive(Debug, Default)]
pub(crate) struct Shedding {
    level: Level,
    /// Delays of the latest ticks, used in turn.
    delays: [Duration; WINDOW],
    ticks: usize,
    changed_at: Option<Instant>,
    /// Since when there was no sign of overload.
    calm_since: Option<Instant>,
    withdrew_at: Option<Instant>,
    ignored_until: Option<Instant>,
}

impl Shedding {
    /// Takes the measurements of a tick into account, and returns the level.
    pub fn update(&mut self, sample: Sample, now: Instant) -> Level {
        if sample.was_paused {
            self.delays = [Duration::ZERO; WINDOW];
            self.ignored_until = Some(now + RECOVERY_TIME);
        }
        let is_ignored = self.ignored_until.is_some_and(|until| now < until);
        if !is_ignored {
            self.delays[self.ticks % WINDOW] = sample.delay;
            self.ticks += 1;
        }
        if self.must_return(&sample, now) {
            self.set_level(self.level.previous(), now);
        } else if self.is_overloaded(&sample) {
            self.calm_since = None;
            if !is_ignored && self.may_step_down(&sample, now) {
                self.set_level(self.level.next(), now);
            }
        } else if !self.is_calm(&sample) {
            self.calm_since = None;
        } else if now >= *self.calm_since.get_or_insert(now) + RETURN_TIME {
            self.set_level(self.level.previous(), now);
        }
        self.level
    }

    /// Returns how many ticks of the window were late.
    pub fn late_ticks(&self) -> usize {
        self.count_above(LATE)
    }

    fn set_level(&mut self, level: Level, now: Instant) {
        if level == self.level {
            return;
        }
        if level == Level::Withdrawn {
            self.withdrew_at = Some(now);
        }
        self.level = level;
        self.changed_at = Some(now);
        self.calm_since = None;
    }

    /// Returns whether a withdrawal has to end although the host is still overloaded.
    fn must_return(&self, sample: &Sample, now: Instant) -> bool {
        let is_over = self
            .withdrew_at
            .is_some_and(|at| now >= at + MAX_WITHDRAWAL);
        self.level == Level::Withdrawn && (is_over || !sample.may_withdraw)
    }

    fn is_overloaded(&self, sample: &Sample) -> bool {
        self.late_ticks() >= MIN_LATE || sample.highest_percent() >= HIGH_PERCENT
    }

    fn is_calm(&self, sample: &Sample) -> bool {
        self.count_above(PUNCTUAL) <= MAX_UNPUNCTUAL && sample.highest_percent() < LOW_PERCENT
    }

    fn may_step_down(&self, sample: &Sample, now: Instant) -> bool {
        let delay = match self.level {
            Level::ClosingConnections => WITHDRAWAL_DELAY,
            _ => STEP_TIME,
        };
        if self.changed_at.is_some_and(|at| now < at + delay) {
            return false;
        }
        match self.level {
            Level::Normal | Level::FewerItems => true,
            Level::ClosingConnections => self.may_withdraw(sample, now),
            Level::Withdrawn => false,
        }
    }

    fn may_withdraw(&self, sample: &Sample, now: Instant) -> bool {
        let is_urgent =
            self.late_ticks() >= MIN_LATE || sample.highest_percent() >= EXHAUSTED_PERCENT;
        let withdrew_recently = self
            .withdrew_at
            .is_some_and(|at| now < at + WITHDRAWAL_INTERVAL);
        is_urgent && sample.may_withdraw && !withdrew_recently
    }

    fn count_above(&self, bound: Duration) -> usize {
        self.delays.iter().filter(|it| **it >= bound).count()
    }
}
