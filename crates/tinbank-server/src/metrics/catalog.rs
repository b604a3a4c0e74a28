//! Every metric of the system: name, kind, unit, labels and meaning. `docs/metrics.md` is generated from this table, and
//! a test compares it with the names in the source.
//!
//! Labels take a few fixed words each. None names a request, a customer or an upstream, so that the number of time
//! series does not grow with them.

use std::fmt;

/// What a metric is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only rises; starts at 0 with the process.
    Counter,
    /// Rises and falls.
    Gauge,
    /// Distribution of values, as Prometheus buckets.
    Histogram,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        })
    }
}

/// One metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// What it is.
    pub kind: Kind,
    /// What it counts or measures.
    pub unit: &'static str,
    /// Names of its labels.
    pub labels: &'static [&'static str],
    /// What it tells.
    pub help: &'static str,
}

const fn counter(
    name: &'static str,
    unit: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
) -> Metric {
    Metric {
        name,
        kind: Kind::Counter,
        unit,
        labels,
        help,
    }
}

const fn gauge(name: &'static str, unit: &'static str, help: &'static str) -> Metric {
    Metric {
        name,
        kind: Kind::Gauge,
        unit,
        labels: &[],
        help,
    }
}

const fn seconds(name: &'static str, help: &'static str) -> Metric {
    Metric {
        name,
        kind: Kind::Histogram,
        unit: "seconds",
        labels: &[],
        help,
    }
}

/// All metrics, by name.
pub const METRICS: &[Metric] = &[
    counter(
        "tinbank_admission_cancelled_total",
        "items",
        &[],
        "Batch items that a holder cancelled at the engine because their credits were withdrawn or ran out.",
    ),
    counter(
        "tinbank_batch_checkpoints_refused_total",
        "records",
        &[],
        "Records of shards' checkpoints that were passed over: of a later version, of another shard, malformed.",
    ),
    gauge(
        "tinbank_batch_items_in_hand",
        "items",
        "Batch items that this process sends, or whose end it has not read back from the log yet.",
    ),
    gauge(
        "tinbank_batch_items_waiting",
        "items",
        "Batch items in hand that wait for room in an upstream.",
    ),
    counter(
        "tinbank_batch_jobs_total",
        "jobs",
        &["outcome"],
        "Jobs that were sent in: accepted, refused as not run, or of unknown outcome.",
    ),
    gauge(
        "tinbank_batch_shards_owned",
        "shards",
        "Work shards that this process holds the lease of.",
    ),
    counter(
        "tinbank_batch_withdrawn_total",
        "items",
        &[],
        "Batch items taken off an engine for the sake of online requests, and queued again.",
    ),
    counter(
        "tinbank_configuration_changes_total",
        "changes",
        &["verdict"],
        "Changes of the configuration that were judged, by verdict.",
    ),
    counter(
        "tinbank_configuration_checkpoints_refused_total",
        "records",
        &[],
        "Records of the configuration's checkpoints that were passed over because their numbers can't be right.",
    ),
    counter(
        "tinbank_configuration_from_peers_total",
        "offsets",
        &[],
        "Positions of the configuration stream that came from peers and not from the log.",
    ),
    counter(
        "tinbank_configuration_incomplete_total",
        "times",
        &[],
        "Times that the tail was reached without a whole checkpoint to start from.",
    ),
    Metric {
        name: "tinbank_configuration_offset",
        kind: Kind::Gauge,
        unit: "offset",
        labels: &[],
        help: "Everything before this offset of the configuration stream is in force here.",
    },
    seconds(
        "tinbank_entry_ask_seconds",
        "Time for an allocator to answer an ask for a slot, or until it counts as silent.",
    ),
    counter(
        "tinbank_entry_asks_total",
        "asks",
        &["class", "answer"],
        "Slots asked for, online or for batch: granted, waiting, denied, or no answer.",
    ),
    seconds(
        "tinbank_entry_backlog_retry_seconds",
        "`Retry-After` of refusals that follows from the backlog of the caller's customer.",
    ),
    counter(
        "tinbank_entry_broken_streams_total",
        "streams",
        &["resumable"],
        "Streams of upstreams that broke off or fell silent under way, by whether they could be resumed.",
    ),
    counter(
        "tinbank_entry_broken_upstreams_total",
        "upstreams",
        &["found"],
        "Upstreams that broke off connections, by what a look at their address found: ended, listening, or silent.",
    ),
    counter(
        "tinbank_entry_crossings_total",
        "asks",
        &["report", "answer"],
        "Slots asked for in another failure domain, by whether a recent report of its free slots was known, and whether it granted one.",
    ),
    counter(
        "tinbank_entry_customer_denials_total",
        "denials",
        &["of"],
        "Slots denied to customers by this host's allocator, of the customer with the most in a second or of all others.",
    ),
    counter(
        "tinbank_entry_cut_responses_total",
        "responses",
        &["why"],
        "Responses that were cut because their callers did not read; `host_full` means that the host kept too much.",
    ),
    counter(
        "tinbank_entry_ended_streams_total",
        "streams",
        &["marked"],
        "Streams of upstreams that ended, by whether their end differs from a lost connection.",
    ),
    gauge(
        "tinbank_entry_evacuated_failure_domains",
        "failure domains",
        "Failure domains whose upstreams get nothing new, by the operator's orders.",
    ),
    counter(
        "tinbank_entry_failed_attempts_total",
        "attempts",
        &["why"],
        "Attempts at upstreams without an answer to the request.",
    ),
    seconds(
        "tinbank_entry_first_answer_seconds",
        "Time from a request to the head of its upstream's answer.",
    ),
    gauge(
        "tinbank_entry_held_parts",
        "parts",
        "Parts of prompts that no upstream gets but for single trials, because upstreams crashed as they began to answer.",
    ),
    gauge(
        "tinbank_entry_held_requests",
        "requests",
        "Requests that no upstream gets, because upstreams ended while they ran them.",
    ),
    counter(
        "tinbank_entry_item_runs_total",
        "runs",
        &["ended"],
        "Runs of batch items, by how they ended.",
    ),
    counter(
        "tinbank_entry_item_trials_total",
        "runs",
        &[],
        "Runs of items that were sent although upstreams had crashed while they ran them, to try them.",
    ),
    counter(
        "tinbank_entry_items_given_up_total",
        "items",
        &[],
        "Batch items that the host stopped because it was overloaded.",
    ),
    gauge(
        "tinbank_entry_kept_bytes",
        "bytes",
        "Parts of responses that are kept for callers that read slowly.",
    ),
    gauge(
        "tinbank_entry_known_origins",
        "streams",
        "Streams of which the host knows the service and the build that began them.",
    ),
    counter(
        "tinbank_entry_late_events_total",
        "events",
        &["event"],
        "Events of upstreams that took a multiple of the time expected by the allocator, when noticed and when received: first or later ones.",
    ),
    counter(
        "tinbank_entry_leaving_reports_total",
        "reports",
        &["decision"],
        "Reports of hosts that an upstream leaves, at this host's allocator: removed, or not believed and why.",
    ),
    seconds(
        "tinbank_entry_origin_lookup_seconds",
        "Time until it was known at which build a stream that its caller resumes goes on, or that it does not.",
    ),
    gauge(
        "tinbank_entry_overload_level",
        "level",
        "How much work the host sheds: 0 none, 1 batch items, 2 connections of callers, 3 all new calls.",
    ),
    counter(
        "tinbank_entry_oversized_requests_total",
        "requests",
        &[],
        "Slot requests denied because no upstream of the failure domain has the memory for their prompt.",
    ),
    counter(
        "tinbank_entry_part_trials_total",
        "requests",
        &[],
        "Requests that were sent to try a quarantined part of their prompts.",
    ),
    counter(
        "tinbank_entry_passed_items_total",
        "denials",
        &["cause"],
        "Items denied for more than a free slot, which others go before, by what they lack: memory that is in use, an upstream of their size, or any that they may be sent to.",
    ),
    Metric {
        name: "tinbank_entry_pending_items",
        kind: Kind::Gauge,
        unit: "items",
        labels: &["state"],
        help: "Batch items without a result that this host is to run, by what they wait for: running includes the write of the result, quarantined is their content, quarantined_part a part of their prompt, delayed until a time, due for a slot.",
    },
    seconds(
        "tinbank_entry_probe_wait_seconds",
        "Time for which requests waited for probes of upstreams that they may have crashed.",
    ),
    counter(
        "tinbank_entry_prompt_tokens_total",
        "tokens",
        &["expected"],
        "Prompt tokens of granted requests that their upstreams are expected to have kept, or to read.",
    ),
    counter(
        "tinbank_entry_region_refusals_total",
        "requests",
        &[],
        "Requests that no upstream in their allowed regions could run.",
    ),
    counter(
        "tinbank_entry_replies_total",
        "answers",
        &["reply"],
        "Answers of the entry program's own, by what they say.",
    ),
    counter(
        "tinbank_entry_restarted_items_total",
        "runs",
        &[],
        "Runs of items that began a text anew, because no upstream of its build took the item.",
    ),
    counter(
        "tinbank_entry_resumed_streams_total",
        "requests",
        &["origin"],
        "Streams that callers resume, by who knew the build that began them (this host, another one, only one build has served) or why nobody did.",
    ),
    counter(
        "tinbank_entry_returned_grants_total",
        "grants",
        &["evidence"],
        "Grants that the host gave back because it takes their upstream for leaving, by whether the upstream said so or a list.",
    ),
    gauge(
        "tinbank_entry_slow_upstreams",
        "upstreams",
        "Upstreams that count as slow at this host's allocator, and get fewer requests.",
    ),
    counter(
        "tinbank_entry_stop_rejections_total",
        "requests",
        &["reply"],
        "Requests given up because this host stops: `not_run` before they were sent, `failed` without a response at the end of the grace period.",
    ),
    Metric {
        name: "tinbank_entry_store_reached",
        kind: Kind::Gauge,
        unit: "1 or 0",
        labels: &["what"],
        help: "Whether a list or log at the store can be read; there once it was lost.",
    },
    counter(
        "tinbank_entry_unmarked_ends_total",
        "answers",
        &["found"],
        "Answers that ended with their connections, by what a probe found of their upstreams: `listening`, `ended` or `silent`; `leaving` ones may end and are not probed.",
    ),
    gauge(
        "tinbank_entry_vacant_failure_domains",
        "failure domains",
        "Failure domains without hosts whose slots this host grants.",
    ),
    counter(
        "tinbank_failures_total",
        "answers",
        &["code", "ran"],
        "Answers with an error, by its code and by whether the work ran.",
    ),
    counter(
        "tinbank_log_append_bytes_total",
        "bytes",
        &[],
        "Bytes sent to the log in appends, resends included.",
    ),
    counter(
        "tinbank_log_append_failures_total",
        "appends",
        &[],
        "Appends that the log refused, or whose answer was lost.",
    ),
    counter(
        "tinbank_log_appends_refused_total",
        "requests",
        &[],
        "Requests to append that were refused because the buffer is full.",
    ),
    counter(
        "tinbank_log_appends_total",
        "appends",
        &[],
        "Appends sent to the log, resends included.",
    ),
    counter(
        "tinbank_log_entries_skipped_total",
        "entries",
        &["reason"],
        "Entries of the log that were passed over: empty, of a later version, malformed.",
    ),
    counter(
        "tinbank_log_read_failures_total",
        "reads",
        &[],
        "Reads of the log that failed; they are tried again.",
    ),
    counter(
        "tinbank_log_records_total",
        "records",
        &[],
        "Records sent to the log, resends not counted.",
    ),
    Metric {
        name: "tinbank_members",
        kind: Kind::Gauge,
        unit: "processes",
        labels: &["health"],
        help: "Processes of the system that are known here, by what is believed of them.",
    },
    counter(
        "tinbank_online_cancels_total",
        "requests",
        &[],
        "Requests cancelled at the engine because the caller went away.",
    ),
    seconds(
        "tinbank_online_first_token_seconds",
        "Time from the request to its first token.",
    ),
    counter(
        "tinbank_online_limited_total",
        "requests",
        &["limit"],
        "Requests refused as not run because the customer is over a limit, by limit.",
    ),
    seconds(
        "tinbank_online_request_seconds",
        "Time from the request to the end of its answer.",
    ),
    counter(
        "tinbank_online_requests_total",
        "requests",
        &["outcome"],
        "Online requests that ended, by outcome.",
    ),
    counter(
        "tinbank_online_resumed_total",
        "streams",
        &[],
        "Streams that went on at another engine.",
    ),
    counter(
        "tinbank_online_retries_total",
        "requests",
        &[],
        "Requests sent again.",
    ),
    counter(
        "tinbank_online_shed_total",
        "requests",
        &[],
        "Requests refused as not run because the upstreams are overloaded.",
    ),
    counter(
        "tinbank_peer_asks_failed_total",
        "requests",
        &["phase", "reason"],
        "Requests to other processes without a whole answer.",
    ),
    counter(
        "tinbank_peer_connections_failed_total",
        "connections",
        &["reason"],
        "Connections of other processes that were closed for a fault.",
    ),
    counter(
        "tinbank_peer_dropped_total",
        "frames",
        &["reason"],
        "Datagrams that were dropped: bad MAC, unknown key, replay, malformed, not taken.",
    ),
    counter(
        "tinbank_peer_not_sent_total",
        "frames",
        &["reason"],
        "Datagrams that could not be sent.",
    ),
    counter(
        "tinbank_peer_sent_bytes_total",
        "bytes",
        &[],
        "Bytes of datagrams sent.",
    ),
];

/// Endings that Prometheus text adds to the name of a histogram.
const HISTOGRAM_ENDINGS: [&str; 3] = ["_bucket", "_sum", "_count"];

/// Labels that Prometheus text adds to a histogram.
const WRITTEN_LABELS: [&str; 2] = ["le", "quantile"];

/// Tells the recorder what the metrics mean, for the `# HELP` lines.
pub(super) fn describe() {
    for metric in METRICS {
        match metric.kind {
            Kind::Counter => metrics::describe_counter!(metric.name, metric.help),
            Kind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
            Kind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
        }
    }
}

/// The metric of a name, as it stands in the source or in Prometheus text.
pub fn find(name: &str) -> Option<&'static Metric> {
    let family = HISTOGRAM_ENDINGS
        .iter()
        .find_map(|ending| name.strip_suffix(ending));
    METRICS
        .iter()
        .find(|metric| metric.name == name || family == Some(metric.name))
}

/// Names in Prometheus text that the table doesn't have.
pub fn unlisted(exposition: &str) -> Vec<&str> {
    let samples = exposition
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    let names = samples.filter_map(|line| line.split(['{', ' ']).next());
    names.filter(|name| find(name).is_none()).collect()
}

/// Labels in Prometheus text that the table doesn't have, as `metric{label}`.
pub fn unlisted_labels(exposition: &str) -> Vec<String> {
    let samples = exposition.lines().filter(|line| !line.starts_with('#'));
    let labelled = samples.filter_map(|line| line.split_once('{'));
    let mut unlisted = Vec::new();
    for (name, rest) in labelled {
        let listed = find(name).map_or(&[] as &[&str], |metric| metric.labels);
        // Values are ours and hold no quotes: what stands between them are the names.
        let names = rest
            .split('"')
            .step_by(2)
            .filter_map(|part| part.strip_suffix('='));
        unlisted.extend(
            names
                .map(|label| label.trim_start_matches(','))
                .filter(|label| !listed.contains(label) && !WRITTEN_LABELS.contains(label))
                .map(|label| format!("{name}{{{label}}}")),
        );
    }
    unlisted
}

/// The table in Markdown, for `docs/metrics.md`.
pub fn table() -> String {
    let mut lines = vec![
        "| metric | kind | unit | labels | meaning |".to_owned(),
        "| --- | --- | --- | --- | --- |".to_owned(),
    ];
    lines.extend(METRICS.iter().map(row));
    lines.push(String::new());
    lines.join("\n")
}

fn row(metric: &Metric) -> String {
    let Metric {
        name,
        kind,
        unit,
        labels,
        help,
    } = metric;
    let labels = labels.join(", ");
    format!("| `{name}` | {kind} | {unit} | {labels} | {help} |")
}
