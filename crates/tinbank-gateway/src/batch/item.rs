//! One run of an item at an upstream.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use tinbank_allocator::lease::Outcome;
use tinbank_base::id;
use tinbank_relay::event::{self, Event, Splitter};
use tokio::time;

use crate::{
    border::engine::{Request, Verdict},
    node::Node,
    relay::attempt::{self, Opened},
    sharing::Lease,
};

/// How long an upstream may work on an item in one run; what is left of it goes on in another one.
/// Source: the bench's items take 5 s on an idle upstream and three times that on a full one.
const RUN_TIME: Duration = Duration::from_secs(30);
/// How long the answer to an item may take to begin.
const FIRST_EVENT: Duration = Duration::from_secs(2);
/// Longest pause between events of an item.
const SILENCE: Duration = Duration::from_millis(1_000);

/// What an item has so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Last event had; 0 before the first.
    pub last: event::Id,
    data: Vec<String>,
    /// Answers that say that the item failed.
    pub failures: u32,
    /// Upstreams that gave them.
    pub failed_at: Vec<id::Instance>,
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

impl Progress {
    /// The data of all events.
    pub fn text(&self) -> Bytes {
        Bytes::from(self.data.join("\n"))
    }

    /// Takes in an event. False if it is not the next one.
    fn take(&mut self, event: &Event) -> bool {
        if event.id != Some(self.last + 1) {
            return false;
        }
        self.last += 1;
        self.data.extend(event.data());
        true
    }
}

/// Runs an item from where it stopped.
pub(super) async fn run(
    node: &Node,
    lease: Lease,
    request: &Request,
    progress: &mut Progress,
) -> Ended {
    let now = Instant::now();
    let resume_after = (progress.last > 0).then_some(progress.last);
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
        Verdict::Impossible => {
            opened.lease.end(Outcome::Served);
            return Ended::Impossible;
        }
        _ => {
            opened.lease.end(Outcome::Failed);
            progress.failures += 1;
            progress.failed_at.push(opened.lease.upstream.clone());
            return Ended::Failed;
        }
    }
    let Opened {
        lease,
        body,
        guard: _guard,
        ..
    } = opened;
    let (ended, outcome) = tokio::select! {
        read = read(body, progress) => read,
        () = lease.reclaimed() => (Ended::Reclaimed, Outcome::Unused),
    };
    lease.end(outcome);
    ended
}

async fn read(mut body: hyper::body::Incoming, progress: &mut Progress) -> (Ended, Outcome) {
    let mut splitter = Splitter::default();
    loop {
        let frame = match time::timeout(SILENCE, body.frame()).await {
            Err(_) => return (Ended::Broken, Outcome::Silent),
            Ok(None) if splitter.is_partial() => return (Ended::Broken, Outcome::Failed),
            Ok(None) => return (Ended::Completed, Outcome::Served),
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
            if !progress.take(&event) {
                return (Ended::Broken, Outcome::Failed);
            }
        }
    }
}
