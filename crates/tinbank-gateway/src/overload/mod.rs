//! Takes less work while this host is overloaded, see `docs/design/uneven-demand.md`.

mod level;
#[cfg(test)]
mod tests;
mod usage;

use std::{
    cell::Cell,
    ops::Range,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::Rng;
use tinbank_allocator::allocator::HEARTBEAT_INTERVAL;
use tokio::{task, time};

use self::level::{Level, Sample, Shedding};
use crate::{measure, node::Node};

/// Time between two measurements, in milliseconds. Random, since a process that exceeds its share of the processor is stopped
/// for a part of each 100 ms: a regular timer falls into step with that and is always due while the process runs.
const TICK_MS: Range<u64> = 50..150;

/// The level of shedding that is in force.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    level: Cell<Level>,
    /// Since when no batch items are started.
    sheds_items_since: Cell<Option<Instant>>,
}

impl Overload {
    /// Returns whether the host may start batch items.
    pub fn takes_items(&self) -> bool {
        self.level.get() < Level::FewerItems
    }

    /// Returns whether the host has not started batch items for this time.
    pub fn has_shed_items_for(&self, time: Duration, now: Instant) -> bool {
        let since = self.sheds_items_since.get();
        since.is_some_and(|since| now >= since + time)
    }

    fn set_level(&self, level: Level, now: Instant) -> Level {
        let before = self.level.replace(level);
        let since = self.sheds_items_since.get().unwrap_or(now);
        let sheds_items = !self.takes_items();
        self.sheds_items_since.set(sheds_items.then_some(since));
        before
    }

    /// Returns whether callers' connections are closed after their answers.
    pub fn closes_connections(&self) -> bool {
        self.level.get() >= Level::ClosingConnections
    }

    /// Returns whether the host has withdrawn from the load balancer.
    pub fn has_withdrawn(&self) -> bool {
        self.level.get() == Level::Withdrawn
    }
}

/// Measures the load of this host and sets the level, forever.
pub(crate) async fn watch(node: Rc<Node>) {
    let mut shedding = Shedding::default();
    let mut pauses = node.check_for_pause();
    let mut usage = Usage::default();
    loop {
        let due = Instant::now() + next_interval(&mut rand::rng());
        time::sleep_until(due.into()).await;
        let delay = Instant::now().saturating_duration_since(due);
        let turn = event_loop_turn().await;
        let now = Instant::now();
        usage.refresh(&node, now);
        let pauses_before = std::mem::replace(&mut pauses, node.check_for_pause());
        let sample = Sample {
            delay: delay.max(turn),
            memory_percent: usage.memory_percent,
            descriptor_percent: usage::descriptor_percent(&node),
            may_withdraw: node.sharing.may_withdraw(now),
            was_paused: pauses != pauses_before,
        };
        let level = shedding.update(sample, now);
        apply(&node, level, &sample, shedding.late_ticks());
        if level >= Level::ClosingConnections && usage.is_refreshed {
            let has_withdrawn = level == Level::Withdrawn;
            node.sharing.report_overload(has_withdrawn, now);
        }
    }
}

fn next_interval(draw: &mut impl Rng) -> Duration {
    Duration::from_millis(draw.random_range(TICK_MS))
}

/// Returns how long the event loop takes to run all tasks that are ready.
async fn event_loop_turn() -> Duration {
    let start = Instant::now();
    task::yield_now().await;
    start.elapsed()
}

/// Memory in use, which is measured once per heartbeat since that reads a file.
#[derive(Debug, Default)]
struct Usage {
    memory_percent: u32,
    refresh_at: Option<Instant>,
    /// Whether it was measured at this tick.
    is_refreshed: bool,
}

impl Usage {
    fn refresh(&mut self, node: &Node, now: Instant) {
        self.is_refreshed = self.refresh_at.is_none_or(|at| now >= at);
        if self.is_refreshed {
            self.memory_percent = usage::memory_percent(node);
            self.refresh_at = Some(now + HEARTBEAT_INTERVAL);
        }
    }
}

/// Puts a level in force. Each step down gives up half of the batch items that run here.
fn apply(node: &Node, level: Level, sample: &Sample, late_ticks: usize) {
    let before = node.overload.set_level(level, Instant::now());
    if level == before {
        return;
    }
    let items = match level > before {
        true => node.batch.give_up_half(),
        false => 0,
    };
    measure::set_overload_level(level as u32);
    measure::record_items_given_up(items);
    log::warn!(
        before:?,
        level:?,
        late_ticks,
        delay_ms = sample.delay.as_millis() as u64,
        memory_percent = sample.memory_percent,
        descriptor_percent = sample.descriptor_percent,
        calls = node.stop.open_calls(),
        items_given_up = items;
        "overload level changed"
    );
}
