//! Asks engines for their load reports, a few at a time, so that the cost does not grow with the fleet.

use std::{sync::Arc, time::Duration};

use tinbank_base::platform::upstream::{Kind, Target, Upstreams};
use tinbank_routing::Table;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

use crate::clock;

/// How often some engines are asked.
const EVERY: Duration = Duration::from_millis(250);
/// How many are asked at a time. So a fleet of 20 is heard of every 2.5 seconds; between the reports the own in-flight
/// counts tell more.
const AT_A_TIME: usize = 2;
/// Most questions that are open at once: more than these hang, and new ones wait.
const MAX_OPEN: usize = 16;

/// Asks the engines in turn.
pub(super) async fn ask(upstreams: Arc<dyn Upstreams>, table: Table) {
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut open = JoinSet::new();
    loop {
        ticks.tick().await;
        while open.try_join_next().is_some() {}
        if open.len() >= MAX_OPEN {
            continue;
        }
        for target in table.ask_next(AT_A_TIME, clock::now()) {
            open.spawn(ask_one(upstreams.clone(), table.clone(), target));
        }
    }
}

async fn ask_one(upstreams: Arc<dyn Upstreams>, table: Table, target: Target) {
    let report = upstreams.report(target).await;
    let now = clock::now();
    match report {
        Ok(report) => table.report(target.upstream, report, now),
        Err(error) => {
            if matches!(error.kind, Kind::Connect(_)) {
                table.unreachable(target.upstream, now);
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
