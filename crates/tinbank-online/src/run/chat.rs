//! Runs a chat completion: streams its parts, and goes on at another engine when one is lost.

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
    RouteRequest, Router as _,
    retry::{Attempts, Decision},
};
use tokio::time::timeout_at;

use super::{Attempt, Journal, patience::Patience};
use crate::{clock, context::Context, relay::Relay, request::Request};

/// A chat completion in flight.
pub(crate) struct Chat {
    ctx: Arc<Context>,
    request: Arc<Request>,
    journal: Journal,
    attempts: Attempts,
    tried: SmallVec<[id::Upstream; 4]>,
    relay: Relay,
    running: Option<Running>,
    ended: bool,
}

struct Running {
    attempt: Attempt,
    parts: Parts,
    patience: Patience,
}

/// Why there is no next part.
enum Trouble {
    /// No upstream can be chosen.
    Refused(Failure),
    /// The attempt failed.
    Upstream(upstream::Error),
}

impl Chat {
    pub(crate) fn new(ctx: Arc<Context>, request: Arc<Request>, journal: Journal) -> Self {
        Self {
            attempts: Attempts::new(request.repeatable, request.deadline),
            journal,
            ctx,
            request,
            tried: SmallVec::new(),
            relay: Relay::default(),
            running: None,
            ended: false,
        }
    }

    /// The next part of the answer; after [`Part::End`] or a failure, `None`.
    pub(crate) async fn next(&mut self) -> Option<Result<Part, Failure>> {
        if self.ended {
            return None;
        }
        let part = self.advance().await;
        match &part {
            Ok(Part::Token { .. }) => self.journal.token(),
            Ok(Part::End { tokens, .. }) => self.journal.answered(*tokens),
            Err(failure) => self.journal.failed(failure),
        }
        self.ended = !matches!(part, Ok(Part::Token { .. }));
        Some(part)
    }

    async fn advance(&mut self) -> Result<Part, Failure> {
        loop {
            let step = match &mut self.running {
                None => self.begin().await.map(|()| None),
                Some(running) => {
                    let part = read(running, &mut self.relay, self.request.deadline).await;
                    part.map(Some).map_err(Trouble::Upstream)
                }
            };
            match step {
                Ok(None) => {}
                Ok(Some(part)) => {
                    self.progress(&part);
                    return Ok(part);
                }
                Err(Trouble::Refused(refusal)) => return Err(self.attempts.exhausted(refusal)),
                Err(Trouble::Upstream(error)) => self.fail(&error)?,
            }
        }
    }

    /// Sends the request to an upstream that was not tried yet.
    async fn begin(&mut self) -> Result<(), Trouble> {
        let ask = RouteRequest {
            service: &self.request.service,
            traffic: Traffic::Online,
            prefix: self.request.prefix,
            tried: self.tried.clone(),
        };
        let choice = self.ctx.table.choose(&ask, clock::now());
        let choice = choice.map_err(Trouble::Refused)?;
        let target = choice.target;
        self.tried.push(target.upstream);
        self.journal.routed(target.upstream, choice.reason);
        let number = self.attempts.sent;
        self.attempts.record_sent(&mut self.ctx.budget());
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
        let patience = Patience::new(self.request.repeatable, self.request.deadline, now);
        let until = patience.until(self.request.deadline, now);
        let answer = timeout_at(until.into(), self.ctx.upstreams.chat(target, call)).await;
        let late = |_| Err(silence(target.upstream, until, self.request.deadline));
        match answer.unwrap_or_else(late) {
            Ok(parts) => {
                self.running = Some(Running {
                    attempt,
                    parts,
                    patience,
                });
                Ok(())
            }
            Err(error) => {
                attempt.fail(&error);
                Err(Trouble::Upstream(error))
            }
        }
    }

    fn progress(&mut self, part: &Part) {
        match part {
            Part::Token { .. } => self.attempts.record_progress(),
            Part::End { .. } => {
                if let Some(running) = self.running.take() {
                    running.attempt.succeed();
                }
            }
        }
    }

    /// Decides whether the request goes on elsewhere.
    fn fail(&mut self, error: &upstream::Error) -> Result<(), Failure> {
        if let Some(running) = self.running.take() {
            running.attempt.fail(error);
        }
        let decision = self.attempts.record_failure(
            error,
            &mut self.ctx.budget(),
            clock::now(),
            SystemTime::now(),
        );
        match decision {
            Decision::Stop(failure) => Err(failure),
            Decision::Retry => {
                let (sent, from) = (self.attempts.sent, self.relay.next());
                self.journal.retried(error, sent, from);
                Ok(())
            }
        }
    }
}

/// The next part of one engine's answer, if it is the one that the caller lacks.
async fn read(
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
    let until = running.patience.until(deadline, clock::now());
    let next = timeout_at(until.into(), running.parts.next()).await;
    let part = match next {
        Err(_) => return Err(silence(upstream, until, deadline)),
        Ok(None) => return Err(error(Kind::Cut("no end marker".to_owned()))),
        Ok(Some(part)) => part?,
    };
    running.patience.heard();
    relay.take(part).map_err(error)
}

/// Nothing came in time: the caller's time is over, or the engine stands still.
fn silence(upstream: id::Upstream, until: Instant, deadline: Instant) -> upstream::Error {
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
