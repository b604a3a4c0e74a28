//! Reports of the engines.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use futures::{StreamExt as _, stream};
use tinbank_base::{
    id,
    platform::{
        hosts::{Kind, List, State, Upstream},
        upstream::{Target, Upstreams},
    },
};

use crate::plan::{Engine, ReceivedReport};

/// Maximum number of concurrent report requests.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// The last report of each engine. Only the lease holder requests reports, so that the cost does not depend on the
/// number of hosts.
#[derive(Debug, Default)]
pub struct Reports {
    last: BTreeMap<id::Upstream, ReceivedReport>,
}

impl Reports {
    /// Requests a report from each listed engine. If an engine does not answer, its previous report is kept.
    pub async fn refresh(&mut self, upstreams: Arc<dyn Upstreams>, list: &List) {
        let answers: Vec<_> = stream::iter(targets(list))
            .map(|target| request_report(upstreams.clone(), target))
            .buffer_unordered(MAX_CONCURRENT_REQUESTS)
            .collect()
            .await;
        self.last.extend(answers.into_iter().flatten());
        self.last.retain(|upstream, _| is_listed(list, *upstream));
    }

    /// Returns the listed engines with their last reports, as input for planning.
    pub fn engines(&self, list: &List) -> Vec<Engine> {
        engines(list)
            .map(|engine| Engine {
                upstream: engine.upstream,
                pools: engine.pools.clone(),
                leaving: self.is_leaving(engine),
                report: self.last.get(&engine.upstream).cloned(),
            })
            .collect()
    }

    fn is_leaving(&self, engine: &Upstream) -> bool {
        let reports_leaving = self
            .last
            .get(&engine.upstream)
            .is_some_and(|received| received.report.leaving);
        engine.state == State::Leaving || reports_leaving
    }
}

async fn request_report(
    upstreams: Arc<dyn Upstreams>,
    target: Target,
) -> Option<(id::Upstream, ReceivedReport)> {
    match upstreams.report(target).await {
        Ok(report) => Some((
            target.upstream,
            ReceivedReport {
                report,
                received_at: Instant::now(),
            },
        )),
        Err(error) => {
            log::debug!(event = "report_failed", upstream = target.upstream, reason = error.to_string().as_str(); "engine did not answer the report request");
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
