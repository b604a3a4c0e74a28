//! The body of an upstream's answer, which reports to the quarantine how it ended.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{header, response::Parts};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tinbank_base::id;
use tinbank_quarantine::{InFlight, fingerprint::short};
use tinbank_relay::event;

use crate::{border::engine::Request, exchange::ProbeOutcome, measure, node::Node, quarantine};

/// Events and time after which an answer is beyond its start. Upstreams that crash as they begin to answer some request do so before
/// both, and events on the way are lost with them.
const START_EVENTS: event::Id = 5;
const START_TIME: Duration = Duration::from_millis(200);

/// An attempt in progress at an upstream.
pub(crate) struct AttemptContext {
    pub node: Rc<Node>,
    pub request: Rc<Request>,
    pub upstream: id::Instance,
    pub address: SocketAddr,
    pub sent_at: Instant,
    /// Event after which the upstream was asked to resume; 0 for the start.
    pub started_after: event::Id,
    /// Number of the last event that the caller has, including events from earlier attempts.
    pub last_event: Cell<event::Id>,
    /// When the first event of this attempt was received.
    pub first_event_at: Cell<Option<Instant>>,
    /// Whether the upstream got beyond the start of its answer.
    pub is_beyond_start: Cell<bool>,
}

impl AttemptContext {
    /// Records that the connection was lost before the answer was complete. The request may have crashed the upstream.
    pub fn record_broken_connection(&self) {
        let blamed = self.blamed();
        log::info!(request:% = self.request.id, content:% = short(blamed.request), reached = blamed.reached, parts:% = self.request.shared_parts.join(","), upstream:% = self.upstream; "upstream broke an answer off");
        quarantine::record_broken_connection(&self.node, &self.upstream, self.address, blamed);
    }

    fn blamed(&self) -> InFlight {
        let mut blamed = self.request.in_flight(self.last_event.get());
        if self.is_beyond_start.get() {
            blamed.parts.clear();
        }
        blamed
    }

    fn record_event(&self, event: event::Id) {
        self.last_event.set(event);
        if self.is_beyond_start.get() {
            return;
        }
        let now = Instant::now();
        let first_at = self.first_event_at.get().unwrap_or(now);
        self.first_event_at.set(Some(first_at));
        if event > self.started_after + START_EVENTS && now >= first_at + START_TIME {
            self.record_sound_start(now);
        }
    }

    /// Returns whether the upstream is listed as leaving. The entry of one that has crashed lapses.
    fn is_leaving(&self) -> bool {
        let replica = self.node.view.replica();
        let upstream = replica.listing().get(&self.upstream);
        upstream.is_some_and(|it| it.leaving)
    }

    /// Records that no part of the prompt crashed the upstream.
    fn record_sound_start(&self, began_at: Instant) {
        if !self.is_beyond_start.replace(true) {
            quarantine::record_sound_start(&self.node, &self.request, began_at);
        }
    }
}

/// What is known of an answer whose body has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The end differs from a lost connection.
    Marked,
    /// The answer ended with its connection, and the upstream was probed.
    Probed(ProbeOutcome),
    /// The answer ended with its connection, at an upstream that ends after its answers.
    Leaving,
}

impl End {
    /// Returns whether the answer counts as whole. It does not if the upstream no longer answers at all: a caller can send a request
    /// again whose answer looks cut, but does not know of events that are missing.
    pub fn is_whole(self) -> bool {
        match self {
            Self::Marked | Self::Leaving => true,
            Self::Probed(found) => found == ProbeOutcome::Listening,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Probed(found) => found.name(),
            Self::Leaving => "leaving",
        }
    }
}

/// The body of an answer. It reports broken connections and completed answers to the quarantine.
pub(crate) struct AnswerBody {
    body: Incoming,
    attempt: AttemptContext,
    is_complete: Cell<bool>,
    /// Whether the answer is a success. A failure may come before the upstream begins to answer.
    is_success: bool,
    /// Whether the end of the body differs from a lost connection.
    has_marked_end: bool,
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
            true => {
                quarantine::record_completion(node, request);
                if self.is_success {
                    self.attempt.record_sound_start(self.attempt.sent_at);
                }
            }
            false => quarantine::record_progress(node, request, last_event.get()),
        }
    }
}

impl AnswerBody {
    pub fn new(head: &Parts, body: Incoming, attempt: AttemptContext) -> Self {
        let is_empty = body.is_end_stream();
        Self {
            body,
            attempt,
            is_complete: Cell::new(false),
            is_success: head.status.is_success(),
            has_marked_end: is_empty || has_marked_end(head),
        }
    }

    /// Records that an event of the answer was received.
    pub fn record_event(&self, event: event::Id) {
        self.attempt.record_event(event);
    }

    /// Confirms that the answer is whole, once its body has ended. If the end is not marked, the upstream may have crashed, so that it
    /// is probed; this takes at most a second. An upstream that is known to be leaving may end right after its answers as planned: if
    /// nothing is lost by doing so, they are resumed after their last events, and taken for whole otherwise.
    pub fn confirm_end(&self, is_resumable: bool) -> impl Future<Output = End> + use<> {
        let attempt = &self.attempt;
        let is_probed = !self.has_marked_end && (is_resumable || !attempt.is_leaving());
        let probed = is_probed.then(|| {
            let node = &attempt.node;
            quarantine::record_unmarked_end(
                node,
                &attempt.upstream,
                attempt.address,
                attempt.blamed(),
            )
        });
        let has_marked_end = self.has_marked_end;
        async move {
            let end = match probed {
                None if has_marked_end => return End::Marked,
                None => End::Leaving,
                Some(probed) => End::Probed(probed.await.unwrap_or(ProbeOutcome::Unresponsive)),
            };
            measure::record_unmarked_end(end.name());
            end
        }
    }

    /// Records a confirmed end. If an upstream that is leaving crashed at the start of the answer, that may have caused the end, so the
    /// upstream is probed.
    pub fn record_end(&self, end: End) {
        match end {
            End::Leaving if !self.attempt.is_beyond_start.get() => {
                self.attempt.record_broken_connection();
            }
            _ => self.is_complete.set(end.is_whole()),
        }
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

/// Returns whether the end of a body differs from a lost connection. Of the transfer codings only chunks do so, as the last one.
fn has_marked_end(head: &Parts) -> bool {
    let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(last) = codings.next_back() else {
        return head.headers.contains_key(header::CONTENT_LENGTH);
    };
    let last = last.to_str().unwrap_or_default();
    let last = last.rsplit(',').next().unwrap_or_default().trim();
    last.eq_ignore_ascii_case("chunked")
}
