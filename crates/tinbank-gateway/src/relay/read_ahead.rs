//! Reads responses from upstreams at their own speed while callers read slowly.
//!
//! A caller that does not read must not make its upstream keep the response: upstreams abort such responses, and crash when
//! they keep too many. What is read ahead counts against a budget of the host, see [`tinbank_relay::buffer`].

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    future::poll_fn,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tinbank_relay::buffer::{Budget, Cut, ResponseId};
use tokio::{
    sync::Notify,
    task::{self, AbortHandle},
    time,
};

use crate::{
    border::{Aborted, Body},
    measure,
    node::Node,
};

/// Interval at which responses of slow callers are read. Upstreams abort responses that are not read for some seconds.
const INTERVAL: Duration = Duration::from_millis(250);

/// The responses in progress, and what is kept for their callers.
pub(crate) struct ReadAhead {
    budget: RefCell<Budget>,
    responses: RefCell<HashMap<ResponseId, Weak<Shared>>>,
    next: Cell<ResponseId>,
    added: Notify,
}

/// Closes the connection of a caller whose response is cut.
#[derive(Clone, Default)]
pub(crate) struct Hangup(Rc<Notify>);

impl Hangup {
    /// Waits until the connection is to be closed.
    pub async fn requested(&self) {
        self.0.notified().await;
    }
}

/// A response that is read by the caller's connection, or ahead of it.
struct Shared {
    body: RefCell<Option<Body>>,
    kept: RefCell<VecDeque<Result<Bytes, Aborted>>>,
    kept_bytes: Cell<usize>,
    /// Whether the caller's connection has polled since the last round.
    is_polled: Cell<bool>,
    /// Whether the caller's connection waits for the upstream, which must not be polled by others then.
    is_awaited: Cell<bool>,
    has_ended: Cell<bool>,
    /// Reads ahead while the caller does not read.
    reader: RefCell<Option<AbortHandle>>,
    hangup: Hangup,
}

impl ReadAhead {
    /// Creates the state for a host that keeps at most `max_bytes` for slow callers.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            budget: RefCell::new(Budget::new(max_bytes)),
            responses: RefCell::default(),
            next: Cell::new(0),
            added: Notify::new(),
        }
    }

    /// Wraps the body of a response.
    pub fn wrap(self: &Rc<Self>, body: Body, hangup: Hangup) -> Body {
        let id = self.next.get();
        self.next.set(id + 1);
        let shared = Rc::new(Shared {
            body: RefCell::new(Some(body)),
            kept: RefCell::default(),
            kept_bytes: Cell::new(0),
            is_polled: Cell::new(true),
            is_awaited: Cell::new(false),
            has_ended: Cell::new(false),
            reader: RefCell::default(),
            hangup,
        });
        let mut responses = self.responses.borrow_mut();
        responses.insert(id, Rc::downgrade(&shared));
        drop(responses);
        self.added.notify_one();
        Box::pin(Buffered {
            id,
            shared,
            registry: Rc::clone(self),
        })
    }

    /// Begins to read ahead for all callers that have not read since the last round, and cuts responses beyond the bounds.
    /// Returns the number of responses in progress.
    fn run_round(self: &Rc<Self>, now: Instant) -> usize {
        let responses = self.responses.borrow();
        for (id, response) in responses.iter() {
            let Some(response) = response.upgrade() else {
                continue;
            };
            if response.is_polled.replace(false) || response.is_awaited.get() {
                continue;
            }
            self.start_reader(*id, &response);
        }
        let count = responses.len();
        drop(responses);
        self.cut_beyond_bounds(now);
        measure::set_kept_bytes(self.budget.borrow().total());
        count
    }

    fn start_reader(self: &Rc<Self>, id: ResponseId, response: &Rc<Shared>) {
        let mut reader = response.reader.borrow_mut();
        let is_reading = reader.as_ref().is_some_and(|it| !it.is_finished());
        if is_reading || !self.budget.borrow().may_read(id) {
            return;
        }
        let reading = Rc::clone(self).read(id, Rc::clone(response));
        *reader = Some(task::spawn_local(reading).abort_handle());
    }

    /// Keeps what an upstream sends of a response, up to the bound for one response and one part beyond it, which shows
    /// whether the response has ended.
    async fn read(self: Rc<Self>, id: ResponseId, response: Rc<Shared>) {
        let mut may_read = true;
        while may_read {
            may_read = self.budget.borrow().may_read(id);
            let Some(read) = poll_fn(|context| response.poll_body(context)).await else {
                self.budget.borrow_mut().record_ended(id);
                return;
            };
            let bytes = read.as_ref().map_or(0, Bytes::len);
            response.kept.borrow_mut().push_back(read);
            response.kept_bytes.set(response.kept_bytes.get() + bytes);
            let kept = response.kept_bytes.get();
            let mut budget = self.budget.borrow_mut();
            budget.record_kept(id, kept, Instant::now());
            let is_exceeded = budget.is_exceeded();
            drop(budget);
            // Many callers may stop reading at once, and keep far more than the bound until the next round.
            if is_exceeded {
                self.cut_beyond_bounds(Instant::now());
            }
        }
    }

    fn cut_beyond_bounds(&self, now: Instant) {
        let cuts = self.budget.borrow_mut().take_cuts(now);
        for cut in cuts {
            self.cut(cut);
        }
    }

    fn cut(&self, cut: Cut) {
        log::warn!(reason = cut.reason.name(), bytes = cut.bytes; "response cut, its caller does not read");
        measure::record_cut_response(cut.reason.name());
        let response = self.responses.borrow_mut().remove(&cut.response);
        let Some(response) = response.and_then(|it| it.upgrade()) else {
            return;
        };
        response.stop_reader();
        response.body.take();
        response.kept.take();
        response.kept_bytes.set(0);
        response.hangup.0.notify_one();
    }
}

/// Reads ahead for slow callers, for as long as the process runs.
pub(crate) async fn read_ahead(node: Rc<Node>) {
    let Some(registry) = node.read_ahead.clone() else {
        return;
    };
    loop {
        let responses = registry.run_round(Instant::now());
        if responses == 0 {
            registry.added.notified().await;
        }
        time::sleep(INTERVAL).await;
    }
}

impl Shared {
    fn stop_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.abort();
        }
    }

    fn poll_body(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Aborted>>> {
        loop {
            let mut body = self.body.borrow_mut();
            let Some(open) = body.as_mut() else {
                return Poll::Ready(None);
            };
            let polled = open.as_mut().poll_frame(context);
            let frame = match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => frame,
                Poll::Ready(other) => {
                    // Releases the upstream's slot, although the caller may have yet to read.
                    *body = None;
                    self.has_ended.set(true);
                    return Poll::Ready(other.map(|it| it.map(|_| Bytes::new())));
                }
            };
            if let Ok(data) = frame.into_data() {
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }
}

/// The body of a response, of which a part may have been read ahead.
struct Buffered {
    id: ResponseId,
    shared: Rc<Shared>,
    registry: Rc<ReadAhead>,
}

impl Drop for Buffered {
    fn drop(&mut self) {
        self.shared.stop_reader();
        self.registry.budget.borrow_mut().remove(self.id);
        self.registry.responses.borrow_mut().remove(&self.id);
    }
}

impl http_body::Body for Buffered {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let shared = &self.shared;
        shared.stop_reader();
        shared.is_polled.set(true);
        shared.is_awaited.set(false);
        let kept = shared.kept.borrow_mut().pop_front();
        if let Some(kept) = kept {
            let bytes = kept.as_ref().map_or(0, Bytes::len);
            let left = shared.kept_bytes.get() - bytes;
            shared.kept_bytes.set(left);
            let mut budget = self.registry.budget.borrow_mut();
            budget.record_taken(self.id, left, Instant::now());
            return Poll::Ready(Some(kept.map(Frame::data)));
        }
        if shared.body.borrow().is_none() && !shared.has_ended.get() {
            return Poll::Ready(Some(Err(Aborted("response cut, its caller did not read"))));
        }
        let polled = shared.poll_body(context);
        shared.is_awaited.set(polled.is_pending());
        polled.map(|read| read.map(|read| read.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        let shared = &self.shared;
        let is_untouched = shared.kept.borrow().is_empty();
        let body = shared.body.borrow();
        let body = body.as_ref().filter(|_| is_untouched);
        body.map_or_else(SizeHint::default, |body| body.size_hint())
    }
}
