//! Settings of the online process.

use serde::Deserialize;
use tinbank_process::upstreams::REPORTS_PER_SECOND;
use tinbank_settings::{
    common::Common,
    schema::{Field, Kind, Schema},
};

/// Settings of the online process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Settings that all processes have in common.
    #[serde(flatten)]
    pub common: Common,
    /// Number of work shards of the deployment, over which claims are distributed.
    pub shards: u16,
    /// How long the process keeps serving after a stop was requested, so that the load balancer notices, in
    /// milliseconds.
    pub stop_grace_ms: u64,
    /// Number of engines polled for their load report each second.
    pub reports_per_second: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            common: Common::default(),
            shards: 16,
            stop_grace_ms: 0,
            reports_per_second: REPORTS_PER_SECOND,
        }
    }
}

impl Schema for Settings {
    fn fields() -> Vec<Field> {
        let mut fields = Common::fields();
        fields.push(Field::default(
            "shards",
            Kind::count(1, 4_096),
            "16",
            "Number of work shards of the deployment. The same in all settings files, and never changed.",
        ));
        fields.push(Field::default(
            "stop_grace_ms",
            Kind::millis(0, 600_000),
            "3000",
            "How long the process goes on taking requests after it was told to stop, so that the balancer notices.",
        ));
        fields.push(Field::default(
            "reports_per_second",
            Kind::count(1, 100),
            "1",
            "Engines that this process asks for their load report each second, in turn, however many there are.",
        ));
        fields
    }
}
