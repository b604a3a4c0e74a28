//! Runs a chat completion: streams its parts, and resumes at another engine when one fails.

use std::{
    sync::Arc,
    time::{Instant, SystemTime},
};

use futures::StreamExt as _;
use smallvec::SmallVec;
use tinbank_base::{
    id,
    outcome::{Failure, Ran},
    platform::upstream::{self, Call, Kind, Part, Parts},
};
use tinbank_configuration::template::Traffic;
use tinbank_routing::{
    Ask, Router as _,
    retry::{Attempts, Decision},
};
use tokio::time::timeout_at;

use super::{Attempt, RequestTelemetry, stall_timeout::StallTimeout};
use crate::{clock, context::Context, relay::Relay, request::Request};

/// A chat completion in flight.
pub(crate) struct Chat {
    ctx: Arc<Context>,
    request: Arc<Request>,
    telemetry: RequestTelemetry,
    attempts: Attempts,
    tried: SmallVec<[id::Upstream; 4]>,
    relay: Relay,
    running: Option<Running>,
    ended: bool,
}

struct Running {
    attempt: Attempt,
    parts: Parts,
    stall_timeout: StallTimeout,
}

/// Why an attempt yielded no part.
enum AttemptError {
    /// No upstream can be chosen.
    NoUpstream(Failure),
    /// The upstream failed.
    Upstream(upstream::Error),
}

impl Chat {
    pub(crate) fn new(
        ctx: Arc<Context>,
        request: Arc<Request>,
        telemetry: RequestTelemetry,
    ) -> Self {
        Self {
            attempts: Attempts::new(request.repeatable, request.deadline),
            telemetry,
            ctx,
            request,
            tried: SmallVec::new(),
            relay: Relay::default(),
            running: None,
            ended: false,
        }
    }

    /// Returns the next part of the answer, or `None` after [`Part::End`] or a failure.
    pub(crate) async fn next(&mut self) -> Option<Result<Part, Failure>> {
        if self.ended {
            return None;
        }
        let part = self.advance().await;
        match &part {
            Ok(Part::Token { .. }) => self.telemetry.token(),
            Ok(Part::End { tokens, .. }) => self.telemetry.answered(*tokens),
            Err(failure) => self.telemetry.failed(failure),
        }
        self.ended = !matches!(part, Ok(Part::Token { .. }));
        Some(part)
    }

    async fn advance(&mut self) -> Result<Part, Failure> {
        loop {
            let step = match &mut self.running {
                None => self.start_attempt().await.map(|()| None),
                Some(running) => {
                    let part = read_part(running, &mut self.relay, self.request.deadline).await;
                    part.map(Some).map_err(AttemptError::Upstream)
                }
            };
            match step {
                Ok(None) => {}
                Ok(Some(part)) => {
                    self.on_part(&part);
                    return Ok(part);
                }
                Err(AttemptError::NoUpstream(refusal)) => {
                    return Err(self.attempts.exhausted(refusal));
                }
                Err(AttemptError::Upstream(error)) => self.on_attempt_failed(&error)?,
            }
        }
    }

    /// Sends the request to an upstream that has not been tried.
    async fn start_attempt(&mut self) -> Result<(), AttemptError> {
        let ask = Ask {
            service: &self.request.service,
            traffic: Traffic::Online,
            prefix: self.request.prefix,
            tried: self.tried.clone(),
        };
        let choice = self.ctx.table.choose(&ask, clock::now());
        let choice = choice.map_err(AttemptError::NoUpstream)?;
        let target = choice.target;
        self.tried.push(target.upstream);
        self.telemetry.routed(target.upstream, choice.reason);
        let number = self.attempts.sent;
        self.attempts.send(&mut self.ctx.budget());
        let mut attempt = Attempt::new(self.ctx.clone(), self.request.id, number, choice);
        let call = Call {
            request: attempt.id(),
            service: self.request.name.clone(),
            body: self.request.body.clone(),
            resume_from: self.relay.next(),
            deadline: self.request.deadline,
        };
        attempt.arm();
        let now = clock::now();
        let stall_timeout = StallTimeout::new(self.request.repeatable, self.request.deadline, now);
        let until = stall_timeout.next_part_deadline(self.request.deadline, now);
        let answer = timeout_at(until.into(), self.ctx.upstreams.chat(target, call)).await;
        let on_timeout = |_| Err(timeout_error(target.upstream, until, self.request.deadline));
        match answer.unwrap_or_else(on_timeout) {
            Ok(parts) => {
                self.running = Some(Running {
                    attempt,
                    parts,
                    stall_timeout,
                });
                Ok(())
            }
            Err(error) => {
                attempt.fail(&error);
                Err(AttemptError::Upstream(error))
            }
        }
    }

    fn on_part(&mut self, part: &Part) {
        match part {
            Part::Token { .. } => self.attempts.progress(),
            Part::End { .. } => {
                if let Some(running) = self.running.take() {
                    running.attempt.succeed();
                }
            }
        }
    }

    /// Returns `Ok` if the request may be retried at another upstream.
    fn on_attempt_failed(&mut self, error: &upstream::Error) -> Result<(), Failure> {
        if let Some(running) = self.running.take() {
            running.attempt.fail(error);
        }
        let decision = self.attempts.fail(
            error,
            &mut self.ctx.budget(),
            clock::now(),
            SystemTime::now(),
        );
        match decision {
            Decision::Stop(failure) => Err(failure),
            Decision::Again => {
                let (sent, from) = (self.attempts.sent, self.relay.next());
                self.telemetry.retried(error, sent, from);
                Ok(())
            }
        }
    }
}

/// Reads the next part of an engine's answer and checks its place in the sequence.
async fn read_part(
    running: &mut Running,
    relay: &mut Relay,
    deadline: Instant,
) -> Result<Part, upstream::Error> {
    let upstream = running.attempt.target().upstream;
    let error = |kind| upstream::Error {
        upstream,
        ran: Ran::Unknown,
        kind,
    };
    let until = running
        .stall_timeout
        .next_part_deadline(deadline, clock::now());
    let next = timeout_at(until.into(), running.parts.next()).await;
    let part = match next {
        Err(_) => return Err(timeout_error(upstream, until, deadline)),
        Ok(None) => return Err(error(Kind::Cut("no end marker".to_owned()))),
        Ok(Some(part)) => part?,
    };
    running.stall_timeout.on_part();
    relay.accept(part).map_err(error)
}

/// Returns the error for a part that did not arrive in time: the caller's deadline has passed, or the engine has
/// stalled.
fn timeout_error(upstream: id::Upstream, until: Instant, deadline: Instant) -> upstream::Error {
    let kind = if until < deadline {
        Kind::Cut("it stands still".to_owned())
    } else {
        Kind::Timeout
    };
    upstream::Error {
        upstream,
        ran: Ran::Unknown,
        kind,
    }
}
