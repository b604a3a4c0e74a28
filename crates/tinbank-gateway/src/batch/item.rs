//! One run of an item at an upstream.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use tinbank_allocator::lease::Outcome;
use tinbank_jobs::record::{Piece, RunId, Stored};
use tinbank_origin::Origin;
use tinbank_relay::event::{self, Event, Splitter};

use crate::{
    border::engine::{Request, Verdict},
    exchange,
    node::Node,
    relay::{
        answer::{AnswerBody, End},
        attempt::{self, StartedAnswer},
    },
    sharing::Lease,
};

/// Limit on the time of one run, after which the item is resumed in another run. Above what an item takes at a busy upstream.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit on the time until the first event.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the time between two events.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The events that a run has received.
#[derive(Debug)]
pub(super) struct Received {
    pub run: RunId,
    /// Service and build of the upstream.
    pub origin: Origin,
    /// Whether the start of the run was passed to the writer.
    pub is_announced: bool,
    /// Event after which the run was asked to resume; 0 for a run from the start.
    started_after: event::Id,
    pub last_event: event::Id,
    /// Last event that was passed to the writer.
    written: event::Id,
    /// Data of the events after `written`, each followed by a line feed.
    data: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// All events of the item were received.
    Completed,
    /// The upstream reported that the item can never succeed.
    Impossible,
    /// The upstream reported a failure.
    Failed,
    /// The upstream did not run the item, or its answer broke off.
    Broken,
    /// The allocator reclaimed the slot.
    Reclaimed,
    /// This host stopped the run.
    Stopped,
}

impl Ended {
    /// Returns the label for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Impossible => "impossible",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Reclaimed => "reclaimed",
            Self::Stopped => "stopped",
        }
    }
}

impl Received {
    /// Creates the state of a run that resumes after an event.
    pub fn new(run: RunId, started_after: event::Id, origin: Origin) -> Self {
        Self {
            run,
            origin,
            is_announced: false,
            started_after,
            last_event: started_after,
            written: started_after,
            data: String::new(),
        }
    }

    /// Returns whether there are events that were not passed to the writer.
    pub fn has_unwritten(&self) -> bool {
        self.last_event > self.written
    }

    /// Returns whether any events were passed to the writer.
    pub fn has_written(&self) -> bool {
        self.written > self.started_after
    }

    /// Returns the events that were not passed to the writer, and their data. The writer sets the location of the text.
    pub fn take_piece(&mut self) -> (Piece, Bytes) {
        let piece = Piece {
            run: self.run,
            started_after: self.started_after,
            after: self.written,
            last: self.last_event,
            text: Stored::default(),
        };
        self.written = self.last_event;
        (piece, Bytes::from(std::mem::take(&mut self.data)))
    }

    /// Adds an event, and returns false if it is not the next one.
    fn push(&mut self, event: &Event) -> bool {
        if event.id != Some(self.last_event + 1) {
            return false;
        }
        self.last_event += 1;
        if let Some(data) = event.data() {
            self.data.push_str(&data);
            self.data.push('\n');
        }
        true
    }
}

/// Runs an item from its last received event on.
pub(super) async fn run(
    node: &Rc<Node>,
    lease: Lease,
    request: &Rc<Request>,
    received: &RefCell<Received>,
) -> Ended {
    let now = Instant::now();
    lease.start_meter();
    let last_event = received.borrow().last_event;
    let resume_after = (last_event > 0).then_some(last_event);
    let sent = attempt::send(
        node,
        lease,
        request,
        resume_after,
        now + RUN_TIMEOUT,
        now + FIRST_EVENT_TIMEOUT,
    );
    let Ok(opened) = sent.await else {
        return Ended::Broken;
    };
    match opened.verdict {
        Verdict::Answer => {}
        Verdict::Unprocessable => {
            opened.lease.set_outcome(Outcome::Served);
            return Ended::Impossible;
        }
        _ => {
            opened.lease.set_outcome(Outcome::Failed);
            return Ended::Failed;
        }
    }
    let StartedAnswer {
        lease,
        body,
        guard: _guard,
        ..
    } = opened;
    let (ended, outcome) = tokio::select! {
        read = read(&lease, body, received) => read,
        () = lease.reclaimed() => (Ended::Reclaimed, Outcome::Inconclusive),
    };
    lease.set_outcome(outcome);
    ended
}

async fn read(
    lease: &Lease,
    mut body: AnswerBody,
    received: &RefCell<Received>,
) -> (Ended, Outcome) {
    let mut splitter = Splitter::default();
    loop {
        let until = Instant::now() + EVENT_TIMEOUT;
        let frame = lease.receive(exchange::receive_by(until, body.frame()));
        let frame = match frame.await {
            None => return (Ended::Broken, Outcome::Unresponsive),
            Some(None) if splitter.is_partial() => {
                body.mark_truncated();
                return (Ended::Broken, Outcome::Failed);
            }
            Some(None) => {
                // An item can always be resumed.
                let end = body.confirm_end(true).await;
                body.record_end(end);
                let last = received.borrow().last_event;
                log::info!(run:? = received.borrow().run, upstream:% = lease.upstream, build:% = lease.origin.build, last, marked = end == End::Marked, end = end.name(); "text of an item ended");
                return match end.is_whole() {
                    true => (Ended::Completed, Outcome::Served),
                    false => (Ended::Broken, Outcome::Failed),
                };
            }
            Some(Some(Err(_))) => return (Ended::Broken, Outcome::Failed),
            Some(Some(Ok(frame))) => frame,
        };
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if splitter.push(&piece).is_err() {
            return (Ended::Broken, Outcome::Failed);
        }
        while let Some(event) = splitter.next_event() {
            if !received.borrow_mut().push(&event) {
                return (Ended::Broken, Outcome::Failed);
            }
            body.record_event(received.borrow().last_event);
            lease.record_event();
        }
    }
}
