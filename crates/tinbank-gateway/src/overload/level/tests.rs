//! Tests of the decision, in virtual time.

use yare::parameterized;

use super::*;

const TICK: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

struct Fixture {
    shedding: Shedding,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        Self {
            shedding: Shedding::default(),
            now: Instant::now(),
        }
    }

    /// Applies the same measurements for some time. Returns each level that was reached, and after how long.
    fn run(&mut self, sample: Sample, length: Duration) -> Vec<(Level, Duration)> {
        let start = self.now;
        let mut changes = Vec::new();
        while self.now < start + length {
            let before = self.shedding.level;
            let level = self.shedding.update(sample, self.now);
            if level != before {
                changes.push((level, self.now - start));
            }
            self.now += TICK;
        }
        changes
    }

    fn levels(&mut self, sample: Sample, length: Duration) -> Vec<Level> {
        let changes = self.run(sample, length);
        changes.into_iter().map(|(level, _)| level).collect()
    }
}

fn calm() -> Sample {
    Sample {
        may_withdraw: true,
        ..Sample::default()
    }
}

fn late() -> Sample {
    Sample {
        delay: LATE,
        ..calm()
    }
}

fn memory(memory_percent: u32) -> Sample {
    Sample {
        memory_percent,
        ..calm()
    }
}

fn descriptors(descriptor_percent: u32) -> Sample {
    Sample {
        descriptor_percent,
        ..calm()
    }
}

#[test]
fn a_late_host_sheds_step_by_step_and_withdraws_last() {
    let mut fixture = Fixture::new();

    let changes = fixture.run(late(), 5 * SECOND);

    let expected = [
        (Level::FewerItems, 4 * TICK),
        (Level::ClosingConnections, 14 * TICK),
        (Level::Withdrawn, 44 * TICK),
    ];
    assert_eq!(changes, expected);
}

#[parameterized(
    usual = { calm(), &[] },
    memory_below_the_bound = { memory(84), &[] },
    little_memory = { memory(85), &[Level::FewerItems, Level::ClosingConnections] },
    no_memory = { memory(95), &[Level::FewerItems, Level::ClosingConnections, Level::Withdrawn] },
    no_descriptors = { descriptors(95), &[Level::FewerItems, Level::ClosingConnections, Level::Withdrawn] },
    not_permitted = {
        Sample { may_withdraw: false, ..late() },
        &[Level::FewerItems, Level::ClosingConnections]
    },
)]
fn a_host_sheds_as_far_as_its_overload_requires(sample: Sample, expected: &[Level]) {
    assert_eq!(Fixture::new().levels(sample, 5 * SECOND), expected);
}

/// Work that returns at once would overload the host again.
#[test]
fn a_host_returns_by_one_level_at_a_time() {
    let mut fixture = Fixture::new();
    fixture.run(late(), 5 * SECOND);

    let changes = fixture.run(calm(), 15 * SECOND);

    let levels: Vec<Level> = changes.iter().map(|it| it.0).collect();
    let gaps = changes.windows(2).map(|it| it[1].1 - it[0].1);
    let expected = [Level::ClosingConnections, Level::FewerItems, Level::Normal];
    assert_eq!(levels, expected);
    assert!(gaps.min() >= Some(RETURN_TIME));
}

/// Load that is just below the bound would make a single threshold change the level every second.
#[test]
fn load_between_the_bounds_changes_nothing() {
    let mut fixture = Fixture::new();
    fixture.run(late(), SECOND / 2);
    let between = Sample {
        delay: LATE - Duration::from_millis(1),
        ..memory(80)
    };

    assert_eq!(fixture.levels(between, 60 * SECOND), []);
}

/// A process that was frozen, or its host suspended, is late once but has all the resources that it needs.
#[parameterized(
    short = { Sample { delay: 9 * TICK, ..calm() }, 1 },
    long = { Sample { delay: 30 * SECOND, was_paused: true, ..calm() }, 1 },
    repeated = { Sample { delay: 30 * SECOND, was_paused: true, ..calm() }, 9 },
)]
fn a_paused_host_sheds_nothing(pause: Sample, pauses: u32) {
    let mut fixture = Fixture::new();
    let mut levels = Vec::new();

    for _ in 0..pauses {
        levels.extend(fixture.levels(pause, TICK));
        levels.extend(fixture.levels(calm(), SECOND));
    }

    assert_eq!(levels, []);
}

/// What arrived during a pause is handled at once after it.
#[test]
fn the_backlog_of_a_pause_is_no_overload() {
    let mut fixture = Fixture::new();
    let paused = Sample {
        was_paused: true,
        ..late()
    };
    fixture.run(paused, TICK);

    assert_eq!(fixture.levels(late(), RECOVERY_TIME - TICK), []);
    assert_eq!(fixture.levels(calm(), 10 * SECOND), []);
}

/// The level is kept during a pause, whose cause says nothing about the load.
#[test]
fn a_pause_does_not_withdraw_a_host_that_sheds_already() {
    let mut fixture = Fixture::new();
    fixture.run(late(), 2 * SECOND);
    fixture.now += 30 * SECOND;
    let paused = Sample {
        was_paused: true,
        ..late()
    };

    assert_eq!(fixture.levels(paused, TICK), []);
    assert_eq!(fixture.levels(late(), RECOVERY_TIME - TICK), []);
}

/// A host that is not ready for an eighth of the time counts as failing its duty.
#[test]
fn a_host_is_withdrawn_for_at_most_a_tenth_of_the_time() {
    let mut fixture = Fixture::new();
    let length = 600 * SECOND;
    let mut withdrawn = Duration::ZERO;

    let changes = fixture.run(late(), length);

    for pair in changes.windows(2) {
        if pair[0].0 == Level::Withdrawn {
            withdrawn += pair[1].1 - pair[0].1;
        }
    }
    assert!(withdrawn > 40 * SECOND, "{withdrawn:?}");
    assert!(withdrawn <= length / 10, "{withdrawn:?}");
}

#[test]
fn a_withdrawal_ends_with_its_permission() {
    let mut fixture = Fixture::new();
    fixture.run(late(), 5 * SECOND);
    let refused = Sample {
        may_withdraw: false,
        ..late()
    };

    let levels = fixture.levels(refused, TICK);

    assert_eq!(levels, [Level::ClosingConnections]);
}
