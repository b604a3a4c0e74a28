//! Counters, gauges and histograms. `docs/OPERATIONS.md` documents each of them. Labels have few distinct values.

use std::time::Duration;

use tinbank_allocator::{
    cause::Cause, frame::Verdict, lease::Class, leaving::Evidence, order::Denials, pace::Sample,
    placement::Summary,
};

use crate::border::ingress::Reply;

/// Records a reply that this host generated itself, without an upstream's response.
pub(crate) fn record_reply(reply: &Reply) {
    let reply = match reply {
        Reply::Accepted => "accepted",
        Reply::OverQuota { .. } => "over_quota",
        Reply::NotRun { .. } => "not_run",
        Reply::HeldBack { .. } => "held_back",
        Reply::CannotResume { .. } => "cannot_resume",
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

/// Records the end of a stream of an upstream, by whether it differs from a lost connection.
pub(crate) fn record_stream_end(marked: bool) {
    let marked = if marked { "yes" } else { "no" };
    metrics::counter!("tinbank_entry_ended_streams_total", "marked" => marked).increment(1);
}

/// Records the end of an answer that ended with its connection, and what was found of its upstream.
pub(crate) fn record_unmarked_end(found: &'static str) {
    metrics::counter!("tinbank_entry_unmarked_ends_total", "found" => found).increment(1);
}

/// Records a search for the origin of a stream that a caller resumes.
pub(crate) fn record_origin_lookup(outcome: &'static str, took: Duration) {
    metrics::counter!("tinbank_entry_resumed_streams_total", "origin" => outcome).increment(1);
    metrics::histogram!("tinbank_entry_origin_lookup_seconds").record(took);
}

/// Records that the text of an item begins anew, because no upstream of its build takes the item.
pub(crate) fn record_restarted_item() {
    metrics::counter!("tinbank_entry_restarted_items_total").increment(1);
}

/// Records that other items go before one that was denied for more than a slot.
pub(crate) fn record_passed_item(cause: Cause) {
    metrics::counter!("tinbank_entry_passed_items_total", "cause" => cause.label()).increment(1);
}

/// Records that a quarantined item is sent to try it.
pub(crate) fn record_item_trial() {
    metrics::counter!("tinbank_entry_item_trials_total").increment(1);
}

/// Records how many pending items of this host are in each state.
pub(crate) fn set_pending_items(states: &[(&'static str, usize)]) {
    for (state, items) in states {
        metrics::gauge!("tinbank_entry_pending_items", "state" => *state).set(*items as f64);
    }
}

/// Records of how many streams this host knows the origin.
pub(crate) fn set_known_origins(streams: usize) {
    metrics::gauge!("tinbank_entry_known_origins").set(streams as f64);
}

/// Records for how many failure domains without hosts this host grants the slots.
pub(crate) fn set_vacant_failure_domains(domains: usize) {
    metrics::gauge!("tinbank_entry_vacant_failure_domains").set(domains as f64);
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

/// Records that this host returned a grant because it takes the upstream for leaving, which the allocator's list has as serving.
pub(crate) fn record_returned_grant(evidence: Evidence) {
    let evidence = match evidence {
        Evidence::Reply => "reply",
        Evidence::List(_) => "list",
    };
    metrics::counter!("tinbank_entry_returned_grants_total", "evidence" => evidence).increment(1);
}

/// Records that the allocator of this host removed an upstream because of a report, or why it did not.
pub(crate) fn record_leaving_report(decision: &'static str) {
    metrics::counter!("tinbank_entry_leaving_reports_total", "decision" => decision).increment(1);
}

/// Records what the placements of this host's allocator came to.
pub(crate) fn record_placements(summary: Summary) {
    let Summary {
        kept_tokens,
        read_tokens,
        oversized,
    } = summary;
    let tokens = [("kept", kept_tokens), ("read", read_tokens)];
    for (expected, tokens) in tokens.into_iter().filter(|(_, tokens)| *tokens > 0) {
        metrics::counter!("tinbank_entry_prompt_tokens_total", "expected" => expected)
            .increment(tokens);
    }
    if oversized > 0 {
        metrics::counter!("tinbank_entry_oversized_requests_total").increment(oversized);
    }
}

/// Records the `Retry-After` of a refusal that follows from the backlog of the caller's customer.
pub(crate) fn record_backlog_retry(retry_after: Duration) {
    metrics::histogram!("tinbank_entry_backlog_retry_seconds").record(retry_after);
}

/// Records an event that is or was later than the allocator expects.
pub(crate) fn record_late_event(sample: Sample) {
    let event = if sample.interval_us == 0 {
        "first"
    } else {
        "later"
    };
    metrics::counter!("tinbank_entry_late_events_total", "event" => event).increment(1);
}

/// Sets the number of upstreams that count as slow at the allocator of this host.
pub(crate) fn set_slow_upstreams(upstreams: usize) {
    metrics::gauge!("tinbank_entry_slow_upstreams").set(upstreams as f64);
}

/// Records a slot request to another failure domain, by whether a recent report of its free slots was known.
pub(crate) fn record_crossing(has_report: bool, is_granted: bool) {
    let report = if has_report { "recent" } else { "missing" };
    let answer = if is_granted { "granted" } else { "not_granted" };
    metrics::counter!("tinbank_entry_crossings_total", "report" => report, "answer" => answer)
        .increment(1);
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

/// Records how long a request waited for probes of upstreams that it may have crashed.
pub(crate) fn record_probe_wait(waited: Duration) {
    metrics::histogram!("tinbank_entry_probe_wait_seconds").record(waited);
}

/// Sets the number of quarantined requests.
pub(crate) fn set_quarantined_requests(requests: usize) {
    metrics::gauge!("tinbank_entry_held_requests").set(requests as f64);
}

/// Sets the number of quarantined parts of prompts.
pub(crate) fn set_quarantined_parts(parts: usize) {
    metrics::gauge!("tinbank_entry_held_parts").set(parts as f64);
}

/// Records a request that was sent to try a quarantined part of its prompt.
pub(crate) fn record_part_trial() {
    metrics::counter!("tinbank_entry_part_trials_total").increment(1);
}

/// Sets the number of evacuated failure domains.
pub(crate) fn set_evacuated_failure_domains(failure_domains: usize) {
    metrics::gauge!("tinbank_entry_evacuated_failure_domains").set(failure_domains as f64);
}

/// Records a request that found no host in its allowed regions.
pub(crate) fn record_region_refusal() {
    metrics::counter!("tinbank_entry_region_refusals_total").increment(1);
}

/// Sets the bytes that are kept for callers that read slowly.
pub(crate) fn set_kept_bytes(bytes: usize) {
    metrics::gauge!("tinbank_entry_kept_bytes").set(bytes as f64);
}

/// Records a response that was cut because its caller did not read.
pub(crate) fn record_cut_response(why: &'static str) {
    metrics::counter!("tinbank_entry_cut_responses_total", "why" => why).increment(1);
}

/// Records a request that was given up because this host stops.
pub(crate) fn record_stop_rejection(reply: &'static str) {
    metrics::counter!("tinbank_entry_stop_rejections_total", "reply" => reply).increment(1);
}

/// Sets the level of shedding of this host, 0 if it takes all work.
pub(crate) fn set_overload_level(level: u32) {
    metrics::gauge!("tinbank_entry_overload_level").set(f64::from(level));
}

/// Records batch items that this host gave up because it is overloaded.
pub(crate) fn record_items_given_up(items: usize) {
    metrics::counter!("tinbank_entry_items_given_up_total").increment(items as u64);
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
