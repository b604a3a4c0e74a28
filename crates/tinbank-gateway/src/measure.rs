//! Counters, gauges and histograms. `docs/OPERATIONS.md` documents each of them. Labels have few distinct values.

use std::time::Duration;

use tinbank_allocator::{frame::Verdict, lease::Class, order::Denials};

use crate::border::ingress::Reply;

/// Records a reply that this host generated itself, without an upstream's response.
pub(crate) fn record_reply(reply: &Reply) {
    let reply = match reply {
        Reply::Accepted => "accepted",
        Reply::OverQuota { .. } => "over_quota",
        Reply::NotRun { .. } => "not_run",
        Reply::HeldBack { .. } => "held_back",
        Reply::Unsure => "unsure",
        Reply::Failed => "failed",
        Reply::TimedOut => "timed_out",
        Reply::NoKey => "no_key",
        Reply::NoRoute => "no_route",
        Reply::NotFound => "not_found",
        Reply::TooLarge => "too_large",
        Reply::Malformed(_) => "malformed",
        Reply::Results(_) => "results",
        Reply::Body(_) => "body",
        Reply::Ended => "ended",
        Reply::Ready | Reply::NotReady => return,
    };
    metrics::counter!("tinbank_entry_replies_total", "reply" => reply).increment(1);
}

/// Records how long a caller waited for the head of the upstream's response.
pub(crate) fn record_response_start(waited: Duration) {
    metrics::histogram!("tinbank_entry_first_answer_seconds").record(waited);
}

/// Records a broken stream, by whether it can be resumed at another upstream.
pub(crate) fn record_broken_stream(resumable: bool) {
    let resumable = if resumable { "yes" } else { "no" };
    metrics::counter!("tinbank_entry_broken_streams_total", "resumable" => resumable).increment(1);
}

/// Records an attempt that got no usable response from its upstream.
pub(crate) fn record_failed_attempt(why: &'static str) {
    metrics::counter!("tinbank_entry_failed_attempts_total", "why" => why).increment(1);
}

/// Records a slot request, with the allocator's first verdict or `None` if it did not respond in time.
pub(crate) fn record_slot_request(class: Class, verdict: Option<&Verdict>, took: Duration) {
    let class = if class.is_batch() { "batch" } else { "online" };
    let answer = match verdict {
        Some(Verdict::Granted(_)) => "granted",
        Some(Verdict::Waiting) => "waiting",
        Some(Verdict::Denied(_)) => "denied",
        Some(Verdict::OverLimit(_)) => "over_limit",
        None => "silent",
    };
    metrics::counter!("tinbank_entry_asks_total", "class" => class, "answer" => answer)
        .increment(1);
    metrics::histogram!("tinbank_entry_ask_seconds").record(took);
}

/// Records the `Retry-After` of a refusal that follows from the backlog of the caller's customer.
pub(crate) fn record_backlog_retry(retry_after: Duration) {
    metrics::histogram!("tinbank_entry_backlog_retry_seconds").record(retry_after);
}

/// Records denials of this host's allocator, by whether they are those of the customer that had the most.
pub(crate) fn record_customer_denials(denials: &Denials) {
    let others = denials.total - denials.of_busiest;
    for (of, count) in [("busiest", denials.of_busiest), ("others", others)] {
        metrics::counter!("tinbank_entry_customer_denials_total", "of" => of)
            .increment(count.into());
    }
}

/// Records that an upstream broke a connection, with the outcome of the probe that followed.
pub(crate) fn record_broken_connection(found: &'static str) {
    metrics::counter!("tinbank_entry_broken_upstreams_total", "found" => found).increment(1);
}

/// Sets the number of quarantined requests.
pub(crate) fn set_quarantined_requests(requests: usize) {
    metrics::gauge!("tinbank_entry_held_requests").set(requests as f64);
}

/// Sets the number of evacuated failure domains.
pub(crate) fn set_evacuated_failure_domains(failure_domains: usize) {
    metrics::gauge!("tinbank_entry_evacuated_failure_domains").set(failure_domains as f64);
}

/// Records the end of a run of a batch item at an upstream.
pub(crate) fn record_item_run(ended: &'static str) {
    metrics::counter!("tinbank_entry_item_runs_total", "ended" => ended).increment(1);
}

/// Sets whether a list or log of the store is reachable.
pub(crate) fn set_store_reachable(what: &'static str, reached: bool) {
    let value = if reached { 1.0 } else { 0.0 };
    metrics::gauge!("tinbank_entry_store_reached", "what" => what).set(value);
}
