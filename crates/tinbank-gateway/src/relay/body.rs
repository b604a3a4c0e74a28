//! Bodies of answers that hold on to something until they end.

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

/// A body that keeps a value until it is dropped.
struct Held<T> {
    body: Body,
    _value: T,
}

impl<T: Unpin> http_body::Body for Held<T> {
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

/// A body that counts as work in progress until it ends.
pub(crate) fn with_work_guard(body: Body, work: WorkGuard) -> Body {
    Box::pin(Held { body, _value: work })
}

/// The body of an upstream's answer, passed on as it comes. Where it comes whole, the lease ends as `whole` says.
pub(crate) fn relayed(
    body: AnswerBody,
    lease: Lease,
    guard: ConnectionGuard,
    whole: Outcome,
    deadline: Instant,
) -> Body {
    let timed = Timed {
        body,
        lease,
        whole,
        deadline: Box::pin(time::sleep_until(deadline.into())),
        _guard: guard,
    };
    Box::pin(timed)
}

/// A body that is given up at a deadline.
struct Timed {
    body: AnswerBody,
    lease: Lease,
    whole: Outcome,
    deadline: Pin<Box<Sleep>>,
    _guard: ConnectionGuard,
}

impl Timed {
    fn ended(&self) {
        self.body.mark_complete();
        self.lease.set_outcome(self.whole);
    }
}

impl http_body::Body for Timed {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.ended(),
            Poll::Ready(Some(Err(_))) => self.lease.set_outcome(Outcome::Failed),
            // Who reads a body of known length does not ask for its end.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.ended(),
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_ready() {
                    let aborted = Aborted("its time is up");
                    return Poll::Ready(Some(Err(aborted)));
                }
            }
        }
        polled.map_err(|_| Aborted("the upstream broke it off"))
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
