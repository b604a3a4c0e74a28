//! Counters and histograms. `docs/OPERATIONS.md` says what each of them means; labels take few values.

use std::time::Duration;

use tinbank_allocator::{frame::Verdict, lease::Class};

use crate::border::ingress::Reply;

/// A request for a route was answered by the system itself, without an upstream's answer.
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

/// The head of an upstream's answer is on its way to the caller.
pub(crate) fn record_response_start(waited: Duration) {
    metrics::histogram!("tinbank_entry_first_answer_seconds").record(waited);
}

/// A stream was broken, and goes on elsewhere or not.
pub(crate) fn record_broken_stream(resumable: bool) {
    let resumable = if resumable { "yes" } else { "no" };
    metrics::counter!("tinbank_entry_broken_streams_total", "resumable" => resumable).increment(1);
}

/// An attempt at an upstream gave no answer.
pub(crate) fn record_failed_attempt(why: &'static str) {
    metrics::counter!("tinbank_entry_failed_attempts_total", "why" => why).increment(1);
}

/// An allocator was asked for a slot, and gave its first verdict or none in time.
pub(crate) fn record_slot_request(class: Class, verdict: Option<&Verdict>, took: Duration) {
    let class = if class.is_batch() { "batch" } else { "online" };
    let answer = match verdict {
        Some(Verdict::Granted(_)) => "granted",
        Some(Verdict::Waiting) => "waiting",
        Some(Verdict::Denied) => "denied",
        Some(Verdict::OverLimit(_)) => "over_limit",
        None => "silent",
    };
    metrics::counter!("tinbank_entry_asks_total", "class" => class, "answer" => answer)
        .increment(1);
    metrics::histogram!("tinbank_entry_ask_seconds").record(took);
}

/// An upstream broke off a connection, and a look at its address found something.
pub(crate) fn record_broken_connection(found: &'static str) {
    metrics::counter!("tinbank_entry_broken_upstreams_total", "found" => found).increment(1);
}

/// So many requests are held back, because upstreams end under them.
pub(crate) fn set_quarantined_requests(requests: usize) {
    metrics::gauge!("tinbank_entry_held_requests").set(requests as f64);
}

/// The upstreams of so many failure domains get nothing new.
pub(crate) fn set_evacuated_failure_domains(failure_domains: usize) {
    metrics::gauge!("tinbank_entry_evacuated_failure_domains").set(failure_domains as f64);
}

/// A batch item left its upstream.
pub(crate) fn record_item_run(ended: &'static str) {
    metrics::counter!("tinbank_entry_item_runs_total", "ended" => ended).increment(1);
}

/// A list or log at the store was lost, or regained.
pub(crate) fn set_store_reachable(what: &'static str, reached: bool) {
    let value = if reached { 1.0 } else { 0.0 };
    metrics::gauge!("tinbank_entry_store_reached", "what" => what).set(value);
}
