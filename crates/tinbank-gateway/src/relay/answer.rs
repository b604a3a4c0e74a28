//! The body of an upstream's answer, which reports to the quarantine how it ended.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tinbank_base::id;
use tinbank_quarantine::{InFlight, fingerprint::short};
use tinbank_relay::event;

use crate::{border::engine::Request, node::Node, quarantine};

/// An attempt in progress at an upstream.
pub(crate) struct AttemptContext {
    pub node: Rc<Node>,
    pub request: Rc<Request>,
    pub upstream: id::Instance,
    pub address: SocketAddr,
    /// Number of the last event that the caller has, including events from earlier attempts.
    pub last_event: Cell<event::Id>,
}

impl AttemptContext {
    /// Records that the connection was lost before the answer was complete. The request may have crashed the upstream.
    pub fn record_broken_connection(&self) {
        let blamed = InFlight {
            request: self.request.fingerprint(),
            reached: self.last_event.get(),
        };
        log::info!(request:% = self.request.id, content:% = short(blamed.request), reached = blamed.reached, parts:% = self.request.shared_parts.join(","), upstream:% = self.upstream; "upstream broke an answer off");
        quarantine::record_broken_connection(&self.node, &self.upstream, self.address, blamed);
    }
}

/// The body of an answer. It reports broken connections and completed answers to the quarantine.
pub(crate) struct AnswerBody {
    body: Incoming,
    attempt: AttemptContext,
    is_complete: Cell<bool>,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let AttemptContext {
            node,
            request,
            last_event,
            ..
        } = &self.attempt;
        match self.is_complete.get() {
            true => quarantine::record_completion(node, request),
            false => quarantine::record_progress(node, request, last_event.get()),
        }
    }
}

impl AnswerBody {
    pub fn new(body: Incoming, attempt: AttemptContext) -> Self {
        Self {
            body,
            attempt,
            is_complete: Cell::new(false),
        }
    }

    /// Records that an event of the answer was received.
    pub fn record_event(&self, event: event::Id) {
        self.attempt.last_event.set(event);
    }

    /// Marks the answer as complete.
    pub fn mark_complete(&self) {
        self.is_complete.set(true);
    }

    /// Records that the body ended within an event, which is how a crash shows if the body has no length.
    pub fn mark_truncated(&self) {
        self.attempt.record_broken_connection();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Err(_))) = polled {
            self.attempt.record_broken_connection();
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
