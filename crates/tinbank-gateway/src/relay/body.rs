//! Answer bodies that keep a lease or a guard until they end.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tinbank_allocator::lease::Outcome;
use tokio::time::{self, Sleep};

use super::answer::AnswerBody;
use crate::{
    border::{Aborted, Body},
    exchange::ConnectionGuard,
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

/// Returns a body that forwards an upstream's answer until `deadline`. If it completes, the lease gets `outcome`.
pub(crate) fn forward(
    body: AnswerBody,
    lease: Lease,
    guard: ConnectionGuard,
    outcome: Outcome,
    deadline: Instant,
) -> Body {
    let forwarded = Forwarded {
        body,
        lease,
        outcome,
        deadline: Box::pin(time::sleep_until(deadline.into())),
        _guard: guard,
    };
    Box::pin(forwarded)
}

/// The body of an upstream's answer, aborted at a deadline.
struct Forwarded {
    body: AnswerBody,
    lease: Lease,
    outcome: Outcome,
    deadline: Pin<Box<Sleep>>,
    _guard: ConnectionGuard,
}

impl Forwarded {
    fn complete(&self) {
        self.body.mark_complete();
        self.lease.set_outcome(self.outcome);
    }
}

impl http_body::Body for Forwarded {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.complete(),
            Poll::Ready(Some(Err(_))) => self.lease.set_outcome(Outcome::Failed),
            // A body of known length is not polled again after its last frame.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.complete(),
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_ready() {
                    let aborted = Aborted("deadline exceeded");
                    return Poll::Ready(Some(Err(aborted)));
                }
            }
        }
        polled.map_err(|_| Aborted("upstream closed the connection early"))
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
