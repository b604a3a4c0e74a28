//! Answer bodies that keep a lease or a guard until they end.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use tinbank_allocator::lease::Outcome;
use tokio::time::{self, Sleep};

use super::{
    answer::{AnswerBody, End},
    timer::Timer,
};
use crate::{
    border::{Aborted, Body},
    exchange::{self, ConnectionGuard},
    sharing::Lease,
    stop::WorkGuard,
};

/// A body that owns a guard.
struct Guarded<T> {
    body: Body,
    _guard: T,
}

impl<T: Unpin> http_body::Body for Guarded<T> {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// Wraps a body so that it counts as work in progress until it ends.
pub(crate) fn with_work_guard(body: Body, work: WorkGuard) -> Body {
    Box::pin(Guarded { body, _guard: work })
}

/// An answer whose body has begun or is empty, so that its head can be passed on.
pub(crate) struct BegunBody {
    body: AnswerBody,
    /// The first frame, until it is passed on.
    first: Option<Frame<Bytes>>,
}

/// Waits until an answer goes beyond its head. Returns `None` if the connection breaks before, or nothing comes by `deadline`: its
/// caller can then still be told so by a status.
pub(crate) async fn begin(mut body: AnswerBody, deadline: Instant) -> Option<BegunBody> {
    if body.is_end_stream() {
        return Some(BegunBody { body, first: None });
    }
    let first = match exchange::receive_by(deadline, body.frame()).await? {
        Some(frame) => Some(frame.ok()?),
        None => None,
    };
    Some(BegunBody { body, first })
}

/// Returns a body that forwards an upstream's answer until `deadline`. If it completes, the lease gets `outcome`.
pub(crate) fn forward(
    begun: BegunBody,
    lease: Lease,
    guard: ConnectionGuard,
    outcome: Outcome,
    deadline: Instant,
    timer: Option<Timer>,
) -> Body {
    let BegunBody { body, first } = begun;
    let forwarded = Forwarded {
        body,
        first,
        lease,
        outcome,
        confirmation: None,
        deadline: Box::pin(time::sleep_until(deadline.into())),
        timer,
        _guard: guard,
    };
    Box::pin(forwarded)
}

type Confirmation = Pin<Box<dyn Future<Output = End>>>;

/// The body of an upstream's answer, aborted at a deadline.
struct Forwarded {
    body: AnswerBody,
    first: Option<Frame<Bytes>>,
    lease: Lease,
    outcome: Outcome,
    /// Confirms the end of the answer, once its body has ended.
    confirmation: Option<Confirmation>,
    deadline: Pin<Box<Sleep>>,
    timer: Option<Timer>,
    _guard: ConnectionGuard,
}

impl Forwarded {
    fn complete(&mut self) {
        self.record_time();
        self.body.record_end(End::Marked);
        self.lease.set_outcome(self.outcome);
    }

    fn record_time(&mut self) {
        if let Some(timer) = self.timer.take() {
            timer.record();
        }
    }

    /// Confirms the end of the body, which is passed on only then.
    fn poll_end(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let body = &self.body;
        let confirmation = self
            .confirmation
            .get_or_insert_with(|| Box::pin(body.confirm_end(false)));
        let Poll::Ready(end) = confirmation.as_mut().poll(context) else {
            return self.poll_deadline(context);
        };
        self.confirmation = None;
        self.record_time();
        self.body.record_end(end);
        if end.is_whole() {
            self.lease.set_outcome(self.outcome);
            return Poll::Ready(None);
        }
        log::info!(upstream:% = self.lease.upstream, end = end.name(); "answer ended with its upstream");
        self.lease.set_outcome(Outcome::Failed);
        Poll::Ready(Some(Err(Aborted("the answer ended with its upstream"))))
    }

    fn poll_deadline(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        if self.deadline.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.record_time();
        Poll::Ready(Some(Err(Aborted("deadline exceeded"))))
    }
}

impl http_body::Body for Forwarded {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        if self.confirmation.is_some() {
            return self.poll_end(context);
        }
        let polled = match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(first))),
            None => Pin::new(&mut self.body).poll_frame(context),
        };
        match &polled {
            Poll::Ready(None) => return self.poll_end(context),
            Poll::Ready(Some(Err(_))) => self.lease.set_outcome(Outcome::Failed),
            // A body of known length is not polled again after its last frame.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.complete(),
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Pending => return self.poll_deadline(context),
        }
        polled.map_err(|_| Aborted("upstream closed the connection early"))
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().and_then(Frame::data_ref);
        let first = first.map_or(0, |it| it.len() as u64);
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + first);
        }
        hint.set_lower(rest.lower() + first);
        hint
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.body.is_end_stream()
    }
}
