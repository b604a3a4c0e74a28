//! What the engines hold, as they report it.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use futures::{StreamExt as _, stream};
use tinbank_base::{
    id,
    platform::{
        hosts::{Kind, List, State, Upstream},
        upstream::{Target, Upstreams},
    },
};

use crate::plan::{Engine, Seen};

/// Most questions that are open at once.
const AT_ONCE: usize = 32;

/// The last report of each engine. Only the order holder asks, so the cost does not grow with the hosts.
#[derive(Debug, Default)]
pub struct Reports {
    seen: BTreeMap<id::Upstream, Seen>,
}

impl Reports {
    /// Asks every engine on the list once. An engine that gives no answer keeps its last report, which grows old.
    pub async fn ask(&mut self, upstreams: Arc<dyn Upstreams>, list: &List) {
        let answers: Vec<_> = stream::iter(targets(list))
            .map(|target| ask_one(upstreams.clone(), target))
            .buffer_unordered(AT_ONCE)
            .collect()
            .await;
        self.seen.extend(answers.into_iter().flatten());
        self.seen.retain(|upstream, _| is_listed(list, *upstream));
    }

    /// The engines as the planner sees them.
    pub fn engines(&self, list: &List) -> Vec<Engine> {
        engines(list)
            .map(|engine| Engine {
                upstream: engine.upstream,
                pools: engine.pools.clone(),
                leaving: self.is_leaving(engine),
                report: self.seen.get(&engine.upstream).cloned(),
            })
            .collect()
    }

    fn is_leaving(&self, engine: &Upstream) -> bool {
        let says_so = self
            .seen
            .get(&engine.upstream)
            .is_some_and(|seen| seen.report.leaving);
        engine.state == State::Leaving || says_so
    }
}

async fn ask_one(upstreams: Arc<dyn Upstreams>, target: Target) -> Option<(id::Upstream, Seen)> {
    match upstreams.report(target).await {
        Ok(report) => Some((
            target.upstream,
            Seen {
                report,
                at: Instant::now(),
            },
        )),
        Err(error) => {
            log::debug!(event = "report_failed", upstream = target.upstream, reason = error.to_string().as_str(); "an engine gave no report");
            None
        }
    }
}

fn engines(list: &List) -> impl Iterator<Item = &Upstream> {
    list.upstreams
        .iter()
        .filter(|upstream| upstream.kind == Kind::Engine)
}

fn targets(list: &List) -> Vec<Target> {
    engines(list)
        .map(|engine| Target {
            upstream: engine.upstream,
            address: engine.address,
        })
        .collect()
}

fn is_listed(list: &List, upstream: id::Upstream) -> bool {
    engines(list).any(|engine| engine.upstream == upstream)
}
