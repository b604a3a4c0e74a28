//! Counters and histograms in the Prometheus text form.

use std::rc::Rc;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder};
use tinbank_gateway::Metrics;

/// Bounds of the buckets of histograms, in seconds: from a round trip in a failure domain to the longest time limits.
const SECONDS: [f64; 10] = [0.001, 0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 5.0];

/// Collects metrics from now on. What it returns renders them.
pub fn start() -> Metrics {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &SECONDS)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("another recorder of metrics is there, none are served");
    }
    Rc::new(move || {
        handle.run_upkeep();
        handle.render()
    })
}
