//! Settings of the batch process.

use std::time::Duration;

use serde::Deserialize;
use tinbank_ledger::lease::Timings;
use tinbank_process::upstreams::REPORTS_PER_SECOND;
use tinbank_settings::{
    common::Common,
    schema::{Field, Kind, Schema},
};

/// Settings of the batch process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Settings common to all processes.
    #[serde(flatten)]
    pub common: Common,
    /// Number of work shards of the deployment.
    pub shards: u16,
    /// How long the process accepts requests after a stop was requested, so that the load balancer can notice.
    pub stop_grace_ms: u64,
    /// Timeout for items in flight during a stop.
    pub stop_limit_ms: u64,
    /// Silence after which another process may take a shard's lease.
    pub lease_silence_ms: u64,
    /// Appends per second of the whole fleet.
    pub appends_per_second: u32,
    /// How long the platform's log keeps records.
    pub log_retention_s: u64,
    /// Maximum items in flight in the process.
    pub items_at_once: usize,
    /// Admission of items to engines.
    pub admission: Admission,
    /// Slots of each engine reserved for online requests if `admission` is `static`.
    pub slots_for_online: u16,
    /// Balance between batch throughput and the tail latency of online requests if `admission` is `credits`.
    pub lean_percent: u16,
    /// Maximum concurrent items of this process in one plain service, and in one engine if `admission` is `bounded`.
    pub items_per_upstream: u32,
    /// Engines polled for their load report per second.
    pub reports_per_second: u32,
}

/// Admission of items to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// Credits of the engines' admission controllers.
    Credits,
    /// A fixed number of items in each engine.
    Bounded,
    /// A fixed part of each engine's slots, divided among the batch processes and never withdrawn.
    Static,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            common: Common::default(),
            shards: 16,
            stop_grace_ms: 0,
            stop_limit_ms: 30_000,
            lease_silence_ms: 6_000,
            appends_per_second: 300,
            log_retention_s: 24 * 3_600,
            items_at_once: 256,
            admission: Admission::Credits,
            slots_for_online: 2,
            lean_percent: 100,
            items_per_upstream: 4,
            reports_per_second: REPORTS_PER_SECOND,
        }
    }
}

/// Minimum time after which reads count as stale. Reads at the tail can be a second apart, so a shorter time would treat a
/// quiet log as failing.
const MIN_STALE: Duration = Duration::from_millis(1_500);

impl Settings {
    /// Returns the timing of leases, derived from `lease_silence_ms`.
    pub fn terms(&self) -> Timings {
        let silence = Duration::from_millis(self.lease_silence_ms);
        Timings {
            silence,
            stagger: silence / 3,
            gap: silence / 3 + Duration::from_secs(1),
            renew: silence / 3,
            retry: silence / 3,
            stale: (silence / 2).max(MIN_STALE),
            ..Timings::default()
        }
    }
}

impl Schema for Settings {
    fn fields() -> Vec<Field> {
        let mut fields = Common::fields();
        fields.extend([
            Field::default(
                "shards",
                Kind::count(1, 4_096),
                "16",
                "Number of work shards of the deployment. The same in all settings files, and never changed.",
            ),
            Field::default(
                "stop_grace_ms",
                Kind::millis(0, 600_000),
                "3000",
                "How long the process goes on taking requests after it was told to stop, so that the balancer notices.",
            ),
            Field::default(
                "stop_limit_ms",
                Kind::millis(0, 3_600_000),
                "30000",
                "How long items in flight may take to end at a stop; what is left then is treated as that of a lost host.",
            ),
            Field::default(
                "lease_silence_ms",
                Kind::millis(1_000, 600_000),
                "6000",
                "Silence of a shard's owner after which another process takes its work over. The same on all hosts.",
            ),
            Field::default(
                "appends_per_second",
                Kind::count(1, 1_000_000),
                "300",
                "Appends a second that the platform's log takes from the whole fleet.",
            ),
            Field::default(
                "log_retention_s",
                Kind::Integer {
                    min: 60,
                    max: 31_536_000,
                    unit: "s",
                },
                "86400",
                "How long the platform's log keeps records. What has to last longer is carried forward at half of it.",
            ),
            Field::default(
                "items_at_once",
                Kind::count(1, 100_000),
                "256",
                "Items that this process sends at once.",
            ),
            Field::default(
                "admission",
                Kind::Choice(&["credits", "bounded", "static"]),
                "\"credits\"",
                "What lets items into engines: credits of the admission controllers, a fixed number in each engine, or a fixed \
                 part of its slots (`static`), which never gives way.",
            ),
            Field::default(
                "slots_for_online",
                Kind::count(0, 10_000),
                "2",
                "Slots of each engine that batch never takes where `admission` is `static`. The same on all hosts.",
            ),
            Field::default(
                "lean_percent",
                Kind::Integer {
                    min: 0,
                    max: 400,
                    unit: "%",
                },
                "100",
                "Part of the largest burst of online requests seen lately that credits keep free in each engine: 50 \
                 for batch throughput, 100 and more for the tail of online requests.",
            ),
            Field::default(
                "items_per_upstream",
                Kind::count(1, 10_000),
                "4",
                "Items of this process in one plain service at once, and in one engine where `admission` is `bounded`.",
            ),
            Field::default(
            "reports_per_second",
            Kind::count(1, 100),
            "1",
            "Engines that this process asks for their load report each second, in turn, however many there are.",
            ),
        ]);
        fields
    }
}
