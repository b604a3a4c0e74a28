//! The figures of all arms, with medians and spread, for people and for machines.

use std::fmt;

use serde::Serialize;

use super::{Arm, Fault, Figures, Plan};

/// Smallest, middle and largest of several runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// The smallest.
    pub least: f64,
    /// The middle one; the mean of both where the number is even.
    pub median: f64,
    /// The largest.
    pub most: f64,
}

impl Spread {
    /// Of some values; zeros if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        let median = match (values.get(middle), values.len() % 2) {
            (None, _) => return Self::default(),
            (Some(upper), 0) => f64::midpoint(values[middle - 1], *upper),
            (Some(middle), _) => *middle,
        };
        Self {
            least: values[0],
            median,
            most: values[values.len() - 1],
        }
    }
}

/// An arm over all runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compared {
    /// Which.
    pub arm: Arm,
    /// Time to the first token: half were faster.
    pub first_p50_ms: Spread,
    /// 95 in 100 were faster.
    pub first_p95_ms: Spread,
    /// 99 in 100 were faster.
    pub first_p99_ms: Spread,
    /// First-token p99 over that of online alone in the same run.
    pub first_p99_ratio: Option<Spread>,
    /// Time between tokens: 95 in 100 were shorter.
    pub between_p95_ms: Spread,
    /// Batch items a second.
    pub batch_items_per_second: Spread,
    /// Part of what online alone leaves idle that batch reached.
    pub idle_reached: Option<Spread>,
    /// Part of batch's tokens that no result used.
    pub wasted_share: Spread,
    /// Online requests without an answer, answered twice or wrongly, or with another's answer; all runs together.
    pub online_unclean: u64,
    /// Online requests that ended in an explicit error, all runs together.
    pub online_failed: u64,
    /// Batch items lost, answered twice, wrong or with another's answer, all runs together.
    pub batch_unclean: u64,
    /// Batch items that ended as failed, all runs together.
    pub batch_failed: u64,
    /// Each run.
    pub runs: Vec<Figures>,
}

/// All arms.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Whose deployment.
    pub example: String,
    /// Seed of the arrivals of the first run; each further one adds one.
    pub seed: u64,
    /// Time of traffic in each arm.
    pub seconds: f64,
    /// What failed.
    pub fault: Option<Fault>,
    /// Items a second that senders without tinbank get through when every slot is theirs, for each run.
    pub capacity_items_per_second: Vec<f64>,
    /// Slots of all engines.
    pub slots: u32,
    /// The arms.
    pub arms: Vec<Compared>,
}

impl Report {
    pub(super) fn new(plan: &Plan) -> Self {
        let engines = &plan.example.deployment.engines;
        Self {
            example: plan.example.deployment.name.clone(),
            seed: plan.seed,
            seconds: plan.lasting.as_secs_f64(),
            fault: plan.fault,
            capacity_items_per_second: Vec::new(),
            slots: engines.count * engines.slots,
            arms: Vec::new(),
        }
    }

    pub(super) fn capacity(&mut self, items_per_second: f64) {
        self.capacity_items_per_second.push(items_per_second);
    }

    pub(super) fn add(&mut self, arm: Arm, figures: Figures) {
        let place = self.arms.iter().position(|known| known.arm == arm);
        let mut runs = match place {
            Some(place) => self.arms[place].runs.clone(),
            None => Vec::new(),
        };
        runs.push(figures);
        let compared = self.compared(arm, runs);
        match place {
            Some(place) => self.arms[place] = compared,
            None => self.arms.push(compared),
        }
    }

    fn compared(&self, arm: Arm, runs: Vec<Figures>) -> Compared {
        let spread = |value: fn(&Figures) -> f64| Spread::of(runs.iter().map(value));
        let unclean =
            |lost: u64, wrong: u64, unasked: u64, twice: u64| lost + wrong + unasked + twice;
        let online = runs.iter().map(|run| run.online_counts);
        let batch = runs
            .iter()
            .map(|run| (run.batch_counts, run.batch_answered_twice));
        Compared {
            arm,
            first_p50_ms: spread(|run| run.online.first.p50_ms),
            first_p95_ms: spread(|run| run.online.first.p95_ms),
            first_p99_ms: spread(|run| run.online.first.p99_ms),
            first_p99_ratio: self.p99_ratio(arm, &runs),
            between_p95_ms: spread(|run| run.online.between.p95_ms),
            batch_items_per_second: spread(|run| run.batch_items_per_second),
            idle_reached: self.idle_reached(arm, &runs),
            wasted_share: spread(|run| run.wasted_share),
            online_unclean: online
                .clone()
                .map(|counts| unclean(counts.lost, counts.wrong, counts.unasked, counts.doubled))
                .sum(),
            online_failed: online.map(|counts| counts.failed).sum(),
            batch_unclean: batch
                .clone()
                .map(|(counts, twice)| unclean(counts.lost, counts.wrong, counts.unasked, twice))
                .sum(),
            batch_failed: batch.map(|(counts, _)| counts.failed).sum(),
            runs,
        }
    }

    fn p99_ratio(&self, arm: Arm, runs: &[Figures]) -> Option<Spread> {
        let alone = self.alone(arm)?;
        let pairs = runs.iter().zip(alone);
        let ratios = pairs.map(|(run, alone)| run.online.first.p99_ms / alone.online.first.p99_ms);
        Some(Spread::of(ratios))
    }

    /// The bound: capacity times the share of slots and time that the answers of online alone did not take.
    fn idle_reached(&self, arm: Arm, runs: &[Figures]) -> Option<Spread> {
        let alone = self.alone(arm)?;
        let all = f64::from(self.slots) * self.seconds;
        let pairs = runs.iter().zip(alone).zip(&self.capacity_items_per_second);
        let reached = pairs.map(|((run, alone), capacity)| {
            let idle = (1.0 - alone.online.busy_s / all).max(f64::MIN_POSITIVE);
            run.batch_items_per_second / (capacity * idle)
        });
        Some(Spread::of(reached))
    }

    fn alone(&self, arm: Arm) -> Option<&[Figures]> {
        if arm == Arm::Online {
            return None;
        }
        let alone = self.arms.iter().find(|known| known.arm == Arm::Online);
        alone.map(|alone| alone.runs.as_slice())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = self
            .fault
            .map_or("no fault".to_owned(), |fault| fault.to_string());
        writeln!(
            f,
            "{}: {} s, {fault}, seed {}, capacity without online {:.1?} items/s",
            self.example, self.seconds, self.seed, self.capacity_items_per_second
        )?;
        writeln!(
            f,
            "{:16} {:>8} {:>8} {:>8} {:>6} {:>8} {:>8} {:>7} {:>7} {:>8} {:>7}",
            "arm",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "ratio",
            "tbt p95",
            "items/s",
            "idle",
            "wasted",
            "unclean",
            "failed"
        )?;
        self.arms.iter().try_for_each(|arm| writeln!(f, "{arm}"))
    }
}

impl fmt::Display for Compared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |spread: Option<Spread>| spread.map_or(f64::NAN, |spread| spread.median);
        write!(
            f,
            "{:16} {:8.1} {:8.1} {:8.1} {:6.2} {:8.1} {:8.1} {:6.1}% {:6.1}% {:>8} {:>7}",
            self.arm.to_string(),
            self.first_p50_ms.median,
            self.first_p95_ms.median,
            self.first_p99_ms.median,
            share(self.first_p99_ratio),
            self.between_p95_ms.median,
            self.batch_items_per_second.median,
            100.0 * share(self.idle_reached),
            100.0 * self.wasted_share.median,
            self.online_unclean + self.batch_unclean,
            self.online_failed + self.batch_failed,
        )
    }
}
