//! Asks engines for their load reports, a bounded number a second, so that the cost does not grow with the fleet.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tinbank_base::platform::upstream::{Kind, Target, Upstreams};
use tinbank_routing::Table;
use tokio::{
    task::JoinSet,
    time::{self, MissedTickBehavior, interval},
};

/// How often it is looked at whom to ask.
const EVERY: Duration = Duration::from_millis(250);
/// How many engines that were never asked are asked at a time, besides: what they have loaded is not known at all.
const NEW_AT_A_TIME: usize = 2;
/// Most questions that are open at once: more than these hang, and new ones wait.
const MAX_OPEN: usize = 16;

/// Asks the engines in turn, the one that was asked the longest ago first.
pub(super) async fn ask(upstreams: Arc<dyn Upstreams>, table: Table, per_second: u32) {
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut open = JoinSet::new();
    let per_tick = f64::from(per_second) * EVERY.as_secs_f64();
    let mut credit = 0.0;
    loop {
        ticks.tick().await;
        while open.try_join_next().is_some() {}
        if open.len() >= MAX_OPEN {
            continue;
        }
        let now = now();
        credit += per_tick;
        let due = credit as usize;
        credit -= due as f64;
        let mut targets = table.new_report_targets(NEW_AT_A_TIME, now);
        targets.extend(table.next_report_targets(due, now));
        for target in targets {
            open.spawn(ask_one(upstreams.clone(), table.clone(), target));
        }
    }
}

async fn ask_one(upstreams: Arc<dyn Upstreams>, table: Table, target: Target) {
    let report = upstreams.report(target).await;
    let now = now();
    match report {
        Ok(report) => table.record_report(target.upstream, report, now),
        Err(error) => {
            if matches!(error.kind, Kind::Connect(_)) {
                table.record_unreachable(target.upstream, now);
            }
            log::debug!(
                event = "report_failed",
                upstream = target.upstream,
                reason = error.to_string().as_str();
                "an engine gave no load report"
            );
        }
    }
}

fn now() -> Instant {
    time::Instant::now().into_std()
}
