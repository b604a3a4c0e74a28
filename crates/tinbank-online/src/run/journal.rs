//! Time-line events, metrics and the one log line of a request.

use std::{borrow::Cow, sync::Arc, time::Instant};

use tinbank_base::{
    event::{Kind, Subject},
    id,
    outcome::Failure,
    platform::upstream,
};

use crate::{clock, context::Context, gate::Permit, request::Request};

/// Notes what becomes of one request. A request that is dropped before it ended counts as cancelled by its caller.
#[derive(Debug)]
pub(crate) struct Journal {
    ctx: Arc<Context>,
    permit: Permit,
    request: id::Request,
    customer: id::Customer,
    service: id::Service,
    began: Instant,
    first: bool,
    ended: bool,
}

impl Journal {
    /// The request was accepted.
    pub(crate) fn accept(ctx: Arc<Context>, request: &Request, permit: Permit) -> Self {
        let journal = Self {
            ctx,
            permit,
            request: request.id,
            customer: request.customer.name.clone(),
            service: request.name.clone(),
            began: clock::now(),
            first: true,
            ended: false,
        };
        let accepted = Kind::Accepted {
            customer: journal.customer.clone(),
            service: journal.service.clone(),
        };
        journal.note(None, accepted);
        journal
    }

    /// An upstream was chosen.
    pub(crate) fn routed(&self, upstream: id::Upstream, reason: &'static str) {
        let reason = Cow::Borrowed(reason);
        self.note(Some(upstream), Kind::Routed { reason });
    }

    /// An attempt failed, and another follows that goes on after the tokens given.
    pub(crate) fn retried(&self, error: &upstream::Error, attempt: u16, from: u32) {
        let reason = error.to_string();
        metrics::counter!("tinbank_online_retries_total").increment(1);
        self.note(Some(error.upstream), Kind::Retried { attempt, reason });
        if from > 0 {
            metrics::counter!("tinbank_online_resumed_total").increment(1);
            self.note(None, Kind::Resumed { from });
        }
    }

    /// A token is passed on.
    pub(crate) fn token(&mut self) {
        self.permit.spend_token();
        if std::mem::take(&mut self.first) {
            let wait = clock::now().duration_since(self.began).as_secs_f64();
            metrics::histogram!("tinbank_online_first_token_seconds").record(wait);
            self.note(None, Kind::FirstToken);
        }
    }

    /// The whole answer is passed on.
    pub(crate) fn answered(&mut self, tokens: u32) {
        self.note(None, Kind::Answered { tokens });
        self.end("answered", "");
    }

    /// The caller gets the stored answer of an earlier request.
    pub(crate) fn replayed(&mut self) {
        self.end("replayed", "");
    }

    /// The caller is told of a failure.
    pub(crate) fn failed(&mut self, failure: &Failure) {
        let (code, ran) = (failure.code, failure.ran);
        self.note(None, Kind::Refused { code, ran });
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

    fn note(&self, upstream: Option<id::Upstream>, kind: Kind) {
        let subject = Subject {
            request: Some(self.request),
            upstream,
            ..Subject::default()
        };
        self.ctx.recorder.note(subject, kind);
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        if !self.ended {
            self.note(None, Kind::Cancelled);
            self.end("cancelled", "the caller went away");
        }
    }
}
