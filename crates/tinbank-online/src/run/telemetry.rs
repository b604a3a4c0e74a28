//! Records timeline events, metrics and the log line of a request.

use std::{borrow::Cow, sync::Arc, time::Instant};

use tinbank_base::{
    event::{Kind, Subject},
    id,
    outcome::Failure,
    platform::upstream,
};

use crate::{clock, context::Context, gate::Permit, request::Request};

/// The recorder of one request. Dropping it before the request ended records a cancel by the caller.
#[derive(Debug)]
pub(crate) struct RequestTelemetry {
    ctx: Arc<Context>,
    permit: Permit,
    request: id::Request,
    customer: id::Customer,
    service: id::Service,
    began: Instant,
    awaiting_first_token: bool,
    ended: bool,
}

impl RequestTelemetry {
    /// Records that a request was accepted.
    pub(crate) fn accept(ctx: Arc<Context>, request: &Request, permit: Permit) -> Self {
        let telemetry = Self {
            ctx,
            permit,
            request: request.id,
            customer: request.customer.name.clone(),
            service: request.name.clone(),
            began: clock::now(),
            awaiting_first_token: true,
            ended: false,
        };
        let accepted = Kind::Accepted {
            customer: telemetry.customer.clone(),
            service: telemetry.service.clone(),
        };
        telemetry.record(None, accepted);
        telemetry
    }

    /// Records that an upstream was chosen.
    pub(crate) fn routed(&self, upstream: id::Upstream, reason: &'static str) {
        let reason = Cow::Borrowed(reason);
        self.record(Some(upstream), Kind::Routed { reason });
    }

    /// Records that an attempt failed and is retried after the first `from` tokens.
    pub(crate) fn retried(&self, error: &upstream::Error, attempt: u16, from: u32) {
        let reason = error.to_string();
        metrics::counter!("tinbank_online_retries_total").increment(1);
        self.record(Some(error.upstream), Kind::Retried { attempt, reason });
        if from > 0 {
            metrics::counter!("tinbank_online_resumed_total").increment(1);
            self.record(None, Kind::Resumed { from });
        }
    }

    /// Records that a token was relayed to the caller.
    pub(crate) fn token(&mut self) {
        self.permit.spend_token();
        if std::mem::take(&mut self.awaiting_first_token) {
            let wait = clock::now().duration_since(self.began).as_secs_f64();
            metrics::histogram!("tinbank_online_first_token_seconds").record(wait);
            self.record(None, Kind::FirstToken);
        }
    }

    /// Records that the complete answer was relayed.
    pub(crate) fn answered(&mut self, tokens: u32) {
        self.record(None, Kind::Answered { tokens });
        self.end("answered", "");
    }

    /// Records that the caller gets the stored answer of an earlier request.
    pub(crate) fn replayed(&mut self) {
        self.end("replayed", "");
    }

    /// Records that the caller gets a failure.
    pub(crate) fn failed(&mut self, failure: &Failure) {
        let (code, ran) = (failure.code, failure.ran);
        self.record(None, Kind::Refused { code, ran });
        self.end("failed", &failure.message);
    }

    fn end(&mut self, outcome: &'static str, reason: &str) {
        self.ended = true;
        let elapsed = clock::now().duration_since(self.began);
        metrics::counter!("tinbank_online_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("tinbank_online_request_seconds").record(elapsed.as_secs_f64());
        log::info!(
            event = "request_ended",
            request = id::format_wide(self.request).as_str(),
            customer = self.customer.as_str(),
            service = self.service.as_str(),
            outcome = outcome,
            reason = reason,
            millis = elapsed.as_millis() as u64;
            "request ended"
        );
    }

    fn record(&self, upstream: Option<id::Upstream>, kind: Kind) {
        let subject = Subject {
            request: Some(self.request),
            upstream,
            ..Subject::default()
        };
        self.ctx.recorder.note(subject, kind);
    }
}

impl Drop for RequestTelemetry {
    fn drop(&mut self) {
        if !self.ended {
            self.record(None, Kind::Cancelled);
            self.end("cancelled", "the caller went away");
        }
    }
}
