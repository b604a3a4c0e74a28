//! Event streams from upstreams to callers, resumed at another upstream if one fails.

use std::{collections::VecDeque, time::Instant};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tinbank_allocator::lease::Outcome;
use tinbank_relay::{
    attempt::{Failure, Next},
    event::{self, Event, Splitter},
    route::Kind,
    timeout::IdleTimeout,
};
use tokio::time;

use super::{
    answer::{AnswerBody, End},
    online::OnlineRequest,
};
use crate::{
    border::{Aborted, Body, engine::Verdict},
    exchange::{self, ConnectionGuard},
    measure,
    sharing::Lease,
};

/// An event stream in progress.
pub(super) struct Stream {
    relay: OnlineRequest,
    source: Option<Source>,
    splitter: Splitter,
    ready: VecDeque<Event>,
    last_event: Option<event::Id>,
    has_begun: bool,
    idle_timeout: IdleTimeout,
}

/// The upstream that currently sends the stream.
struct Source {
    lease: Lease,
    body: AnswerBody,
    _guard: ConnectionGuard,
}

/// Next input from the upstream.
enum Input {
    Chunk(Bytes),
    End,
    Broken(&'static str, Outcome),
    DeadlineExceeded,
}

impl Stream {
    pub fn new(
        relay: OnlineRequest,
        lease: Lease,
        guard: ConnectionGuard,
        body: AnswerBody,
        resume_after: Option<event::Id>,
    ) -> Self {
        let source = Source {
            lease,
            body,
            _guard: guard,
        };
        Self {
            source: Some(source),
            splitter: Splitter::default(),
            ready: VecDeque::new(),
            last_event: resume_after,
            has_begun: false,
            idle_timeout: IdleTimeout::new(relay.route.event_gap, Instant::now()),
            relay,
        }
    }

    pub fn into_body(self) -> Body {
        let frames = futures_util::stream::unfold(self, |mut stream| async move {
            let next = stream.next().await?;
            Some((next.map(Frame::data), stream))
        });
        Box::pin(StreamBody::new(frames))
    }

    /// Returns the next event for the caller. Only complete events are forwarded, so that another upstream can continue after
    /// any of them.
    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(event.bytes));
            }
            let idle_deadline = self.idle_deadline();
            let source = self.source.as_mut()?;
            let input = receive(&mut source.body, idle_deadline, self.relay.deadline());
            let broken = match source.lease.receive(input).await {
                Input::Chunk(chunk) => match self.parse(&chunk) {
                    Ok(()) => continue,
                    Err(why) => (why, Outcome::Failed),
                },
                Input::End if self.splitter.is_partial() => {
                    source.body.mark_truncated();
                    ("ended within an event", Outcome::Failed)
                }
                Input::End => {
                    let Some(end) = self.confirm_end().await else {
                        self.record_time();
                        self.close_source(Outcome::Inconclusive);
                        return Some(Err(self.abort("deadline exceeded")));
                    };
                    if end.is_whole() {
                        self.relay.record_completion();
                        self.record_time();
                        self.close_source(Outcome::Served);
                        self.relay.is_finished = true;
                        return None;
                    }
                    ("ended with its upstream", Outcome::Failed)
                }
                Input::Broken(why, outcome) => (why, outcome),
                Input::DeadlineExceeded => {
                    self.record_time();
                    self.close_source(Outcome::Inconclusive);
                    return Some(Err(self.abort("deadline exceeded")));
                }
            };
            let (why, outcome) = broken;
            if let Err(aborted) = self.resume(why, outcome).await {
                return Some(Err(aborted));
            }
        }
    }

    /// Parses a chunk and queues its complete events.
    fn parse(&mut self, chunk: &[u8]) -> Result<(), &'static str> {
        self.splitter
            .push(chunk)
            .map_err(|_| "sent an event that is too large")?;
        while let Some(event) = self.splitter.next_event() {
            self.record_event();
            if let Some(id) = event.id {
                let expected = self.last_event.map_or(id, |last| last + 1);
                if id != expected {
                    return Err("sent events out of order");
                }
                self.last_event = Some(id);
                if let Some(source) = &self.source {
                    source.body.record_event(id);
                }
            }
            self.ready.push_back(event);
        }
        Ok(())
    }

    fn record_event(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            let lease = self.source.as_ref().map(|it| &it.lease);
            self.relay.record_first_event(lease);
            self.log_begin();
        }
        if let Some(source) = &self.source {
            source.lease.record_event();
        }
        self.idle_timeout.record_event(Instant::now());
    }

    fn record_time(&self) {
        if let Some(timer) = self.relay.timer() {
            timer.record();
        }
    }

    fn log_begin(&self) {
        let Some(source) = &self.source else {
            return;
        };
        let lease = &source.lease;
        log::info!(request:% = self.relay.request.id, upstream:% = lease.upstream, build:% = lease.origin.build; "stream began");
    }

    /// Confirms the end of the answer. Returns `None` at the deadline of the request. All events have been passed on by then.
    async fn confirm_end(&self) -> Option<End> {
        let source = self.source.as_ref()?;
        let confirmed = source.body.confirm_end(self.is_resumable());
        let confirmed = time::timeout_at(self.relay.deadline().into(), confirmed);
        let end = confirmed.await.ok()?;
        source.body.record_end(end);
        let lease = &source.lease;
        measure::record_stream_end(end == End::Marked);
        log::info!(request:% = self.relay.request.id, upstream:% = lease.upstream, build:% = lease.origin.build, last = self.last_event.unwrap_or(0), marked = end == End::Marked, end = end.name(); "stream ended");
        Some(end)
    }

    /// Returns when the upstream counts as unresponsive, if another one may resume the stream.
    fn idle_deadline(&self) -> Option<Instant> {
        self.is_resumable().then(|| self.idle_timeout.deadline())
    }

    fn is_resumable(&self) -> bool {
        let relay = &self.relay;
        matches!(relay.route.kind, Kind::Stream { resumable: true })
            && relay.attempts.can_run_again()
    }

    /// Resumes the stream at another upstream. The lease of the old one ends first, so that only one works on the request.
    async fn resume(&mut self, why: &'static str, outcome: Outcome) -> Result<(), Aborted> {
        let resumable = self.is_resumable();
        let previous = self.source.as_ref().map(|it| it.lease.upstream.clone());
        self.close_source(outcome);
        measure::record_broken_stream(resumable);
        let id = &self.relay.request.id;
        let upstream = previous.as_deref().unwrap_or_default();
        let after = self.last_event.unwrap_or(0);
        log::info!(request:% = id, upstream, after, why, resumable; "stream broken");
        if !resumable {
            return Err(self.abort(why));
        }
        if let Some(upstream) = previous {
            self.relay.attempts.record(upstream, Failure::Unknown);
        }
        self.splitter = Splitter::default();
        loop {
            let started = match self.relay.attempt(self.last_event).await {
                Ok(Some(started)) => started,
                Ok(None) if self.relay.attempts.next() == Next::Retry => continue,
                Ok(None) | Err(_) => return Err(self.abort(why)),
            };
            if started.verdict != Verdict::Answer {
                started.lease.set_outcome(Outcome::Failed);
                return Err(self.abort("the next upstream failed"));
            }
            log::info!(request:% = self.relay.request.id, upstream:% = started.lease.upstream, build:% = started.lease.origin.build, after = self.last_event.unwrap_or(0); "stream resumed");
            self.idle_timeout.restart(Instant::now());
            self.source = Some(Source {
                lease: started.lease,
                body: started.body,
                _guard: started.guard,
            });
            return Ok(());
        }
    }

    fn close_source(&mut self, outcome: Outcome) {
        if let Some(source) = self.source.take() {
            source.lease.set_outcome(outcome);
        }
    }

    fn abort(&mut self, why: &'static str) -> Aborted {
        self.relay.is_finished = true;
        log::info!(request:% = self.relay.request.id, after = self.last_event.unwrap_or(0), why; "stream given up");
        Aborted(why)
    }
}

async fn receive(
    body: &mut AnswerBody,
    idle_deadline: Option<Instant>,
    deadline: Instant,
) -> Input {
    let until = idle_deadline.map_or(deadline, |at| at.min(deadline));
    loop {
        let frame = match exchange::receive_by(until, body.frame()).await {
            None if Instant::now() >= deadline => return Input::DeadlineExceeded,
            None => return Input::Broken("stopped sending events", Outcome::Unresponsive),
            Some(None) => return Input::End,
            Some(Some(Err(_))) => return Input::Broken("connection lost", Outcome::Failed),
            Some(Some(Ok(frame))) => frame,
        };
        if let Ok(chunk) = frame.into_data() {
            return Input::Chunk(chunk);
        }
    }
}
