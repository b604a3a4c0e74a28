//! The events of an upstream on their way to a caller, resumed at another upstream if need be.

use std::{collections::VecDeque, time::Instant};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tinbank_allocator::lease::Outcome;
use tinbank_relay::{
    attempt::{Failure, Next},
    event::{self, Event, Splitter},
    route::Kind,
    silence::IdleTimeout,
};
use tokio::time;

use super::{answer::AnswerBody, online::Online};
use crate::{
    border::{Aborted, Body, engine::Verdict},
    exchange::Guard,
    measure,
    sharing::Lease,
};

/// A stream on its way.
pub(super) struct Stream {
    relay: Online,
    source: Option<Source>,
    splitter: Splitter,
    ready: VecDeque<Event>,
    last: Option<event::Id>,
    has_begun: bool,
    idle_timeout: IdleTimeout,
}

/// The upstream that a stream comes from.
struct Source {
    lease: Lease,
    body: AnswerBody,
    _guard: Guard,
}

/// What came from the upstream.
enum Heard {
    Piece(Bytes),
    End,
    Broken(&'static str, Outcome),
    OutOfTime,
}

impl Stream {
    pub fn new(
        relay: Online,
        lease: Lease,
        guard: Guard,
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
            last: resume_after,
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

    /// The next bytes for the caller: whole events only, so that another upstream can go on behind them.
    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(event.bytes));
            }
            let silent_at = self.silent_at();
            let source = self.source.as_mut()?;
            let broken = match hear(source, silent_at, self.relay.deadline()).await {
                Heard::Piece(piece) => match self.take(&piece) {
                    Ok(()) => continue,
                    Err(why) => (why, Outcome::Failed),
                },
                Heard::End if self.splitter.is_partial() => {
                    source.body.mark_truncated();
                    ("stopped within an event", Outcome::Failed)
                }
                Heard::End => {
                    source.body.mark_complete();
                    self.relay.note_served();
                    self.end(Outcome::Served);
                    self.relay.ended = true;
                    return None;
                }
                Heard::Broken(why, outcome) => (why, outcome),
                Heard::OutOfTime => {
                    self.end(Outcome::Unused);
                    return Some(Err(self.abort("its time is up")));
                }
            };
            let (why, outcome) = broken;
            if let Err(aborted) = self.resume(why, outcome).await {
                return Some(Err(aborted));
            }
        }
    }

    fn take(&mut self, piece: &[u8]) -> Result<(), &'static str> {
        self.splitter
            .push(piece)
            .map_err(|_| "sent an event that is too large")?;
        while let Some(event) = self.splitter.next_event() {
            self.measure();
            if let Some(id) = event.id {
                let expected = self.last.map_or(id, |last| last + 1);
                if id != expected {
                    return Err("sent events out of order");
                }
                self.last = Some(id);
                if let Some(source) = &self.source {
                    source.body.record_event(id);
                }
            }
            self.ready.push_back(event);
        }
        Ok(())
    }

    fn measure(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.relay.note_first_event();
        }
        self.idle_timeout.record_event(Instant::now());
    }

    /// From when on the upstream counts as silent; never, where nobody else may go on.
    fn silent_at(&self) -> Option<Instant> {
        self.is_resumable().then(|| self.idle_timeout.deadline())
    }

    fn is_resumable(&self) -> bool {
        let relay = &self.relay;
        matches!(relay.route.kind, Kind::Stream { resumable: true })
            && relay.attempts.can_run_again()
    }

    /// Goes on at another upstream. The old one is left first, so that no two work on the request.
    async fn resume(&mut self, why: &'static str, outcome: Outcome) -> Result<(), Aborted> {
        let resumable = self.is_resumable();
        let from = self.source.as_ref().map(|it| it.lease.upstream.clone());
        self.end(outcome);
        measure::broke(resumable);
        let id = &self.relay.request.id;
        let upstream = from.as_deref().unwrap_or_default();
        let after = self.last.unwrap_or(0);
        log::info!(request:% = id, upstream, after, why, resumable; "stream broken");
        if !resumable {
            return Err(self.abort(why));
        }
        if let Some(upstream) = from {
            self.relay.attempts.record(upstream, Failure::Unknown);
        }
        self.splitter = Splitter::default();
        loop {
            let opened = match self.relay.attempt(self.last).await {
                Ok(Some(opened)) => opened,
                Ok(None) if self.relay.attempts.next() == Next::Retry => continue,
                Ok(None) | Err(_) => return Err(self.abort(why)),
            };
            if opened.verdict != Verdict::Answer {
                opened.lease.set_outcome(Outcome::Failed);
                return Err(self.abort("the next upstream failed"));
            }
            log::info!(request:% = self.relay.request.id, upstream:% = opened.lease.upstream, after = self.last.unwrap_or(0); "stream resumed");
            self.idle_timeout.restart(Instant::now());
            self.source = Some(Source {
                lease: opened.lease,
                body: opened.body,
                _guard: opened.guard,
            });
            return Ok(());
        }
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(source) = self.source.take() {
            source.lease.set_outcome(outcome);
        }
    }

    fn abort(&mut self, why: &'static str) -> Aborted {
        self.relay.ended = true;
        log::info!(request:% = self.relay.request.id, after = self.last.unwrap_or(0), why; "stream given up");
        Aborted(why)
    }
}

async fn hear(source: &mut Source, silent_at: Option<Instant>, deadline: Instant) -> Heard {
    let until = silent_at.map_or(deadline, |at| at.min(deadline));
    loop {
        let frame = match time::timeout_at(until.into(), source.body.frame()).await {
            Err(_) if Instant::now() >= deadline => return Heard::OutOfTime,
            Err(_) => return Heard::Broken("fell silent", Outcome::Silent),
            Ok(None) => return Heard::End,
            Ok(Some(Err(_))) => return Heard::Broken("broke off", Outcome::Failed),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(piece) = frame.into_data() {
            return Heard::Piece(piece);
        }
    }
}
