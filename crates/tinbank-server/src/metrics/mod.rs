//! Metrics in the Prometheus text form. `docs/metrics.md` lists their names, units and meaning.

pub mod catalog;

use std::{sync::OnceLock, time::Duration};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::time::MissedTickBehavior;

/// Renders the metrics of the whole operating-system process.
#[derive(Clone, Debug)]
pub struct Handle(PrometheusHandle);

/// How often histograms are drained, so that they don't grow when nobody reads them.
pub const UPKEEP: Duration = Duration::from_secs(5);
/// Bounds of the buckets of histograms in seconds.
pub const SECONDS: [f64; 16] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.2, 0.5, 1.0, 1.4, 3.0, 10.0, 60.0,
];

/// Installs the recorder. Safe to call again: all calls in a process share one recorder.
pub fn install() -> Handle {
    static INSTALLED: OnceLock<PrometheusHandle> = OnceLock::new();
    let handle = INSTALLED.get_or_init(|| {
        let recorder = builder().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is installed; /metrics stays empty");
        }
        catalog::describe();
        handle
    });
    Handle(handle.clone())
}

fn builder() -> PrometheusBuilder {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &SECONDS)
        .unwrap_or_else(|_| PrometheusBuilder::new())
}

impl Handle {
    /// The metrics as Prometheus text.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Drains histograms until it is dropped; run it beside the server.
    pub async fn keep(self) {
        let mut ticks = tokio::time::interval(UPKEEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.0.run_upkeep();
        }
    }
}
