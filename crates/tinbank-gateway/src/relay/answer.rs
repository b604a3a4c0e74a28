//! The body of an upstream's answer, which says so when the upstream breaks it off.

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
use tinbank_quarantine::InFlight;
use tinbank_relay::event;

use crate::{border::engine::Request, node::Node, quarantine};

/// A request under way at an upstream.
pub(crate) struct Witness {
    pub node: Rc<Node>,
    pub request: Rc<Request>,
    pub upstream: id::Instance,
    pub address: SocketAddr,
    /// Last event of the answer that has come, the ones that the caller had before among them.
    pub reached: Cell<event::Id>,
}

impl Witness {
    /// The upstream closed the connection before the answer was whole. It may have ended, perhaps by this request.
    pub fn broken(&self) {
        let blamed = InFlight {
            request: self.request.fingerprint(),
            reached: self.reached.get(),
        };
        quarantine::record_broken_connection(&self.node, &self.upstream, self.address, blamed);
    }
}

/// The body of an answer. Whoever reads it need not care for what a break means for other requests.
pub(crate) struct AnswerBody {
    body: Incoming,
    witness: Witness,
    is_whole: Cell<bool>,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let Witness {
            node,
            request,
            reached,
            ..
        } = &self.witness;
        match self.is_whole.get() {
            true => quarantine::record_completion(node, request),
            false => quarantine::record_progress(node, request, reached.get()),
        }
    }
}

impl AnswerBody {
    pub fn new(body: Incoming, witness: Witness) -> Self {
        Self {
            body,
            witness,
            is_whole: Cell::new(false),
        }
    }

    /// An event of the answer has come.
    pub fn record_event(&self, event: event::Id) {
        self.witness.reached.set(event);
    }

    /// The answer was whole.
    pub fn mark_complete(&self) {
        self.is_whole.set(true);
    }

    /// The body has ended within an event. Where it has no length, that is how an upstream's end shows.
    pub fn mark_truncated(&self) {
        self.witness.broken();
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
            self.witness.broken();
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
