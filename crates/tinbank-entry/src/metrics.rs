//! Metrics in the Prometheus text format.

use std::rc::Rc;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder};
use tinbank_gateway::Metrics;

/// Bucket bounds of histograms, in seconds. They reach from a round trip within a failure domain to the longest time
/// limits.
const BUCKETS: [f64; 10] = [0.001, 0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 5.0];

/// Installs the metrics recorder and returns a function that renders the metrics.
pub fn start() -> Metrics {
    let histograms = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(histograms, &BUCKETS)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("another metrics recorder is already installed, no metrics are served");
    }
    Rc::new(move || {
        handle.run_upkeep();
        handle.render()
    })
}
