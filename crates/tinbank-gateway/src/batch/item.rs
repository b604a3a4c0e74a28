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
use tinbank_relay::event::{self, Event, Splitter};
use tokio::time;

use crate::{
    border::engine::{Request, Verdict},
    node::Node,
    relay::{
        answer::AnswerBody,
        attempt::{self, StartedAnswer},
    },
    sharing::Lease,
};

/// How long an upstream may work on an item in one run; what is left of it goes on in another one.
/// Source: above what items take at full upstreams, so that only one that hangs while it sends is cut.
const RUN_TIME: Duration = Duration::from_secs(30);
/// How long the answer to an item may take to begin.
const FIRST_EVENT: Duration = Duration::from_secs(2);
/// Longest pause between events of an item.
const SILENCE: Duration = Duration::from_millis(1_000);

/// What a run has so far.
#[derive(Debug)]
pub(super) struct Progress {
    /// The run.
    run: RunId,
    /// Event behind which the run was asked to go on; 0 for a run from the start.
    started_after: event::Id,
    /// Last event had.
    pub last: event::Id,
    /// Last event that is on its way to the log.
    written: event::Id,
    /// Data of the events behind it, each with a line feed behind it.
    data: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// The item has all its events.
    Completed,
    /// It can never be done.
    Impossible,
    /// The upstream ran it and failed.
    Failed,
    /// The upstream did not run it, or broke off.
    Broken,
    /// The allocator took the slot back.
    Reclaimed,
    /// The job is ended, or another host was first.
    Stopped,
}

impl Ended {
    /// The name for metrics.
    pub fn name(self) -> &'static str {
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

impl Progress {
    /// A run that goes on behind an event.
    pub fn new(run: RunId, started_after: event::Id) -> Self {
        Self {
            run,
            started_after,
            last: started_after,
            written: started_after,
            data: String::new(),
        }
    }

    /// True if there are events that are not on their way to the log.
    pub fn has_news(&self) -> bool {
        self.last > self.written
    }

    /// The events that are not on their way to the log yet, and their data. Where that stands is not known yet.
    pub fn piece(&mut self) -> (Piece, Bytes) {
        let piece = Piece {
            run: self.run,
            started_after: self.started_after,
            after: self.written,
            last: self.last,
            text: Stored::default(),
        };
        self.written = self.last;
        (piece, Bytes::from(std::mem::take(&mut self.data)))
    }

    /// Takes in an event. False if it is not the next one.
    fn take(&mut self, event: &Event) -> bool {
        if event.id != Some(self.last + 1) {
            return false;
        }
        self.last += 1;
        if let Some(data) = event.data() {
            self.data.push_str(&data);
            self.data.push('\n');
        }
        true
    }
}

/// Runs an item from where it stopped.
pub(super) async fn run(
    node: &Rc<Node>,
    lease: Lease,
    request: &Rc<Request>,
    progress: &RefCell<Progress>,
) -> Ended {
    let now = Instant::now();
    let last = progress.borrow().last;
    let resume_after = (last > 0).then_some(last);
    let sent = attempt::send(
        node,
        lease,
        request,
        resume_after,
        now + RUN_TIME,
        now + FIRST_EVENT,
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
        read = read(body, progress) => read,
        () = lease.reclaimed() => (Ended::Reclaimed, Outcome::Inconclusive),
    };
    lease.set_outcome(outcome);
    ended
}

async fn read(mut body: AnswerBody, progress: &RefCell<Progress>) -> (Ended, Outcome) {
    let mut splitter = Splitter::default();
    loop {
        let frame = match time::timeout(SILENCE, body.frame()).await {
            Err(_) => return (Ended::Broken, Outcome::Unresponsive),
            Ok(None) if splitter.is_partial() => {
                body.mark_truncated();
                return (Ended::Broken, Outcome::Failed);
            }
            Ok(None) => {
                body.mark_complete();
                return (Ended::Completed, Outcome::Served);
            }
            Ok(Some(Err(_))) => return (Ended::Broken, Outcome::Failed),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if splitter.push(&piece).is_err() {
            return (Ended::Broken, Outcome::Failed);
        }
        while let Some(event) = splitter.next_event() {
            if !progress.borrow_mut().take(&event) {
                return (Ended::Broken, Outcome::Failed);
            }
            body.record_event(progress.borrow().last);
        }
    }
}
