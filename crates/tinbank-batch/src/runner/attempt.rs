//! One attempt at an item: dispatches it if it is not repeatable, sends it, and collects the whole answer, unless the
//! attempt is withdrawn or stopped.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use bytes::Bytes;
use futures::StreamExt as _;
use tinbank_admission::Pass;
use tinbank_base::{
    event::{Kind as Event, Subject},
    id,
    outcome::Ran,
    platform::{
        hosts,
        upstream::{Call, Error, Kind, Target, Upstreams},
    },
};
use tinbank_routing::choice::Choice;
use tinbank_timeline::Recorder;
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    answer,
    task::{Permit, Report, RunMode, Task},
};

/// Dependencies of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptContext {
    /// Access to upstreams.
    pub upstreams: Arc<dyn Upstreams>,
    /// Channel to the owner.
    pub reports: mpsc::UnboundedSender<Report>,
    /// Timeline of events.
    pub recorder: Recorder,
}

impl AttemptContext {
    /// Records an event of the item's latest attempt in the timeline.
    pub fn record_event(&self, task: &Task, upstream: id::Upstream, kind: Event) {
        let subject = Subject {
            request: task.request,
            upstream: Some(upstream),
            job: Some(task.key.job),
            item: Some(task.key.item),
            shard: Some(task.key.shard),
            ..Subject::default()
        };
        self.recorder.note(subject, kind);
    }
}

/// An upstream chosen for an attempt, with the permission to send.
#[derive(Debug)]
pub struct Placement {
    /// The chosen upstream.
    pub choice: Choice,
    /// Admission to the upstream.
    pub pass: Pass,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The whole answer was received.
    Answer(Bytes),
    /// The attempt was withdrawn in favour of online requests.
    Withdrawn,
    /// The item must no longer be run by this process.
    Stopped,
    /// The item could not be dispatched, so it was not sent.
    NotDispatched,
    /// Another dispatch of the item takes precedence.
    Superseded,
    /// The attempt failed without a whole answer.
    Failed(Error),
}

/// Makes one attempt. Received tokens stay in the task, however the attempt ends.
pub async fn run(context: &AttemptContext, task: &mut Task, placement: Placement) -> AttemptEnd {
    let Placement { choice, pass } = placement;
    if !task.repeatable {
        match dispatch(context, task).await {
            Permit::Send => {}
            Permit::Later => return AttemptEnd::NotDispatched,
            Permit::Never => return AttemptEnd::Superseded,
        }
    }
    let request: id::Request = rand::random();
    let upstream = choice.target.upstream;
    task.request = Some(request);
    let reason = choice.reason.into();
    context.record_event(task, upstream, Event::Routed { reason });
    if task.partial_answer.tokens > 0 {
        let from = task.partial_answer.tokens;
        context.record_event(task, upstream, Event::Resumed { from });
    }
    let end = send(context, task, choice.target, pass, request).await;
    if matches!(end, AttemptEnd::Withdrawn) {
        context.record_event(task, upstream, Event::Preempted);
    }
    let now = Instant::now();
    match &end {
        AttemptEnd::Answer(_) => choice.ticket.record_result(Ok(()), now),
        AttemptEnd::Failed(error) => choice.ticket.record_result(Err(error), now),
        _ => {}
    }
    end
}

async fn dispatch(context: &AttemptContext, task: &Task) -> Permit {
    let (reply, permit) = oneshot::channel();
    let key = task.key;
    if context
        .reports
        .send(Report::Dispatch { key, reply })
        .is_err()
    {
        return Permit::Later;
    }
    permit.await.unwrap_or(Permit::Later)
}

async fn send(
    context: &AttemptContext,
    task: &mut Task,
    target: Target,
    pass: Pass,
    request: id::Request,
) -> AttemptEnd {
    // A non-repeatable item is never withdrawn, since it could not be sent again.
    let mut run_mode = task.run_mode.clone();
    let mut withdrawn = pass.withdrawn.clone();
    let withdrawable = task.repeatable;
    let sent = AtomicBool::new(false);
    let exchange = async {
        sent.store(true, Ordering::Relaxed);
        exchange(context, task, target, request).await
    };
    let end = tokio::select! {
        biased;
        () = wait_for_value(&mut run_mode, RunMode::Abort) => AttemptEnd::Stopped,
        () = wait_for_value(&mut withdrawn, true), if withdrawable => AttemptEnd::Withdrawn,
        result = exchange => match result {
            Ok(answer) => AttemptEnd::Answer(answer),
            Err(error) => AttemptEnd::Failed(error),
        },
    };
    // If the request was never sent, the engine does not know it.
    if sent.load(Ordering::Relaxed) && may_still_run(&end) {
        // An error means that the engine is gone, so there is nothing to cancel.
        let _ = context.upstreams.cancel(target, request).await;
    }
    drop(pass);
    end
}

/// Returns whether the upstream may still be running the request.
fn may_still_run(end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Withdrawn | AttemptEnd::Stopped => true,
        AttemptEnd::Failed(error) => matches!(error.kind, Kind::Timeout | Kind::Crossed(_)),
        _ => false,
    }
}

async fn wait_for_value<T: PartialEq>(flag: &mut watch::Receiver<T>, to: T) {
    if flag.wait_for(|value| *value == to).await.is_err() {
        // The sender was dropped without setting the value.
        std::future::pending().await
    }
}

async fn exchange(
    context: &AttemptContext,
    task: &mut Task,
    target: Target,
    request: id::Request,
) -> Result<Bytes, Error> {
    let call = Call {
        request,
        service: task.flow.service.clone(),
        body: task.body.clone(),
        resume_from: task.partial_answer.tokens,
        deadline: Instant::now() + task.service.timeout,
    };
    match task.service.kind {
        hosts::Kind::Engine => chat(context, task, target, call).await,
        hosts::Kind::Plain => plain(context, target, call).await,
    }
}

async fn chat(
    context: &AttemptContext,
    task: &mut Task,
    target: Target,
    call: Call,
) -> Result<Bytes, Error> {
    let request = call.request;
    let mut parts = context.upstreams.chat(target, call).await?;
    while let Some(part) = parts.next().await {
        let taken = answer::push_part(&mut task.partial_answer, part?, request, &task.flow.service);
        if let Some(whole) = taken.map_err(|kind| unknown_outcome(target, kind))? {
            return Ok(whole);
        }
    }
    Err(unknown_outcome(
        target,
        Kind::Cut("no end marker".to_owned()),
    ))
}

async fn plain(context: &AttemptContext, target: Target, call: Call) -> Result<Bytes, Error> {
    let answer = context.upstreams.call(target, call).await?;
    let parsed = serde_json::from_slice::<serde::de::IgnoredAny>(&answer);
    match parsed {
        Ok(_) => Ok(answer),
        Err(error) => Err(unknown_outcome(
            target,
            Kind::Cut(format!("no JSON: {error}")),
        )),
    }
}

fn unknown_outcome(target: Target, kind: Kind) -> Error {
    Error {
        upstream: target.upstream,
        ran: Ran::Unknown,
        kind,
    }
}
