//! Asks engines for their load reports, a few at a time, so that the cost does not grow with the fleet.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tinbank_base::platform::upstream::{Kind, Upstreams};
use tinbank_routing::Table;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

/// How often some engines are asked.
const EVERY: Duration = Duration::from_millis(250);
/// How many are asked at a time.
const AT_A_TIME: usize = 2;
/// Most questions that are open at once; more than these hang, and new ones wait.
const MAX_OPEN: usize = 16;

/// Asks the engines in turn, the one heard of longest ago first.
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
        for target in table.ask_next(AT_A_TIME, Instant::now()) {
            let (upstreams, table) = (upstreams.clone(), table.clone());
            open.spawn(async move {
                let report = upstreams.report(target).await;
                let now = Instant::now();
                match report {
                    Ok(report) => table.report(target.upstream, report, now),
                    Err(error) => {
                        if matches!(error.kind, Kind::Connect(_)) {
                            table.unreachable(target.upstream, now);
                        }
                        log::debug!(event = "report_failed", error:%; "an engine gave no load report");
                    }
                }
            });
        }
    }
}
