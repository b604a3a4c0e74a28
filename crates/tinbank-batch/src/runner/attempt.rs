//! One attempt at an item: dispatch if it may not be repeated, send, collect the whole answer, give way when told.

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
    task::{Permit, Report, Stop, Task},
};

/// What an attempt works with.
#[derive(Clone, Debug)]
pub struct Edge {
    /// Access to upstreams.
    pub upstreams: Arc<dyn Upstreams>,
    /// Where the owner hears of items.
    pub reports: mpsc::UnboundedSender<Report>,
    /// The time line.
    pub recorder: Recorder,
}

impl Edge {
    /// Notes what happened to an item in its latest attempt.
    pub fn note(&self, task: &Task, upstream: id::Upstream, kind: Event) {
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

/// Where an attempt goes.
#[derive(Debug)]
pub struct Spot {
    /// The chosen upstream.
    pub choice: Choice,
    /// Leave to send.
    pub pass: Pass,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum End {
    /// With a whole answer.
    Answer(Bytes),
    /// It gave way to online requests.
    Withdrawn,
    /// The item is no longer to be run here.
    Stopped,
    /// It was not dispatched, and so not sent.
    NotDispatched,
    /// Another dispatch of the item counts.
    Lost,
    /// Without a whole answer.
    Failed(Error),
}

/// Makes one attempt. Tokens that were received stay in the task, whatever the end.
pub async fn run(edge: &Edge, task: &mut Task, spot: Spot) -> End {
    let Spot { choice, pass } = spot;
    if !task.repeatable {
        match dispatch(edge, task).await {
            Permit::Send => {}
            Permit::Later => return End::NotDispatched,
            Permit::Never => return End::Lost,
        }
    }
    let request: id::Request = rand::random();
    let upstream = choice.target.upstream;
    task.request = Some(request);
    let reason = choice.reason.into();
    edge.note(task, upstream, Event::Routed { reason });
    if task.kept.tokens > 0 {
        let from = task.kept.tokens;
        edge.note(task, upstream, Event::Resumed { from });
    }
    let end = send(edge, task, choice.target, pass, request).await;
    if matches!(end, End::Withdrawn) {
        edge.note(task, upstream, Event::Preempted);
    }
    let now = Instant::now();
    match &end {
        End::Answer(_) => choice.ticket.record_result(Ok(()), now),
        End::Failed(error) => choice.ticket.record_result(Err(error), now),
        _ => {}
    }
    end
}

async fn dispatch(edge: &Edge, task: &Task) -> Permit {
    let (reply, permit) = oneshot::channel();
    let key = task.key;
    if edge.reports.send(Report::Dispatch { key, reply }).is_err() {
        return Permit::Later;
    }
    permit.await.unwrap_or(Permit::Later)
}

async fn send(
    edge: &Edge,
    task: &mut Task,
    target: Target,
    pass: Pass,
    request: id::Request,
) -> End {
    // What may not be repeated is not taken back either: it could not be sent again.
    let mut stop = task.stop.clone();
    let mut withdrawn = pass.withdrawn.clone();
    let yields = task.repeatable;
    let sent = AtomicBool::new(false);
    let exchange = async {
        sent.store(true, Ordering::Relaxed);
        exchange(edge, task, target, request).await
    };
    let end = tokio::select! {
        biased;
        () = turned(&mut stop, Stop::Now) => End::Stopped,
        () = turned(&mut withdrawn, true), if yields => End::Withdrawn,
        result = exchange => match result {
            Ok(answer) => End::Answer(answer),
            Err(error) => End::Failed(error),
        },
    };
    // What was stopped before it was sent is unknown to the engine.
    if sent.load(Ordering::Relaxed) && leaves_work(&end) {
        // The engine may be gone; then nothing is left to cancel.
        let _ = edge.upstreams.cancel(target, request).await;
    }
    drop(pass);
    end
}

/// Whether the upstream may still be at work after this end.
fn leaves_work(end: &End) -> bool {
    match end {
        End::Withdrawn | End::Stopped => true,
        End::Failed(error) => matches!(error.kind, Kind::Timeout | Kind::Crossed(_)),
        _ => false,
    }
}

async fn turned<T: PartialEq>(flag: &mut watch::Receiver<T>, to: T) {
    if flag.wait_for(|value| *value == to).await.is_err() {
        // The other end is gone without having turned it.
        std::future::pending().await
    }
}

async fn exchange(
    edge: &Edge,
    task: &mut Task,
    target: Target,
    request: id::Request,
) -> Result<Bytes, Error> {
    let call = Call {
        request,
        service: task.flow.service.clone(),
        body: task.body.clone(),
        resume_from: task.kept.tokens,
        deadline: Instant::now() + task.service.timeout,
    };
    match task.service.kind {
        hosts::Kind::Engine => chat(edge, task, target, call).await,
        hosts::Kind::Plain => plain(edge, target, call).await,
    }
}

async fn chat(edge: &Edge, task: &mut Task, target: Target, call: Call) -> Result<Bytes, Error> {
    let request = call.request;
    let mut parts = edge.upstreams.chat(target, call).await?;
    while let Some(part) = parts.next().await {
        let taken = answer::take(&mut task.kept, part?, request, &task.flow.service);
        if let Some(whole) = taken.map_err(|kind| unknown(target, kind))? {
            return Ok(whole);
        }
    }
    Err(unknown(target, Kind::Cut("no end marker".to_owned())))
}

async fn plain(edge: &Edge, target: Target, call: Call) -> Result<Bytes, Error> {
    let answer = edge.upstreams.call(target, call).await?;
    let parsed = serde_json::from_slice::<serde::de::IgnoredAny>(&answer);
    match parsed {
        Ok(_) => Ok(answer),
        Err(error) => Err(unknown(target, Kind::Cut(format!("no JSON: {error}")))),
    }
}

fn unknown(target: Target, kind: Kind) -> Error {
    Error {
        upstream: target.upstream,
        ran: Ran::Unknown,
        kind,
    }
}
