//! Runs a call of a plain service.

use std::{sync::Arc, time::SystemTime};

use bytes::Bytes;
use smallvec::SmallVec;
use tinbank_base::{
    id,
    outcome::{Failure, Ran},
    platform::upstream::{self, Call, Kind},
};
use tinbank_configuration::template::Traffic;
use tinbank_routing::{
    RouteRequest, Router as _,
    retry::{Attempts, Decision},
};

use super::{Attempt, RequestTelemetry};
use crate::{clock, context::Context, request::Request};

/// Runs the call until it is answered or may not be retried.
pub(crate) async fn run(
    ctx: Arc<Context>,
    request: &Request,
    mut telemetry: RequestTelemetry,
) -> Result<Bytes, Failure> {
    let answer = run_attempts(&ctx, request, &telemetry).await;
    match &answer {
        Ok(_) => telemetry.answered(0),
        Err(failure) => telemetry.failed(failure),
    }
    answer
}

async fn run_attempts(
    ctx: &Arc<Context>,
    request: &Request,
    telemetry: &RequestTelemetry,
) -> Result<Bytes, Failure> {
    let mut attempts = Attempts::new(request.repeatable, request.deadline);
    let mut tried: SmallVec<[id::Upstream; 4]> = SmallVec::new();
    loop {
        let ask = RouteRequest {
            service: &request.service,
            traffic: Traffic::Online,
            prefix: request.prefix,
            tried: tried.clone(),
        };
        let choice = ctx.table.choose(&ask, clock::now());
        let choice = choice.map_err(|refusal| attempts.exhausted(refusal))?;
        tried.push(choice.target.upstream);
        telemetry.routed(choice.target.upstream, choice.reason);
        let number = attempts.sent;
        attempts.record_sent(&mut ctx.budget());
        let attempt = Attempt::new(ctx.clone(), request.id, number, choice);
        let error = match send(ctx, request, &attempt).await {
            Ok(answer) => {
                attempt.succeed();
                return Ok(answer);
            }
            Err(error) => error,
        };
        attempt.fail(&error);
        match attempts.record_failure(&error, &mut ctx.budget(), clock::now(), SystemTime::now()) {
            Decision::Retry => telemetry.retried(&error, attempts.sent, 0),
            Decision::Stop(failure) => return Err(failure),
        }
    }
}

async fn send(
    ctx: &Context,
    request: &Request,
    attempt: &Attempt,
) -> Result<Bytes, upstream::Error> {
    let target = attempt.target();
    let call = Call {
        request: attempt.id(),
        service: request.name.clone(),
        body: request.body.clone(),
        resume_from: 0,
        deadline: request.deadline,
    };
    let answer = ctx.upstreams.call(target, call);
    match tokio::time::timeout_at(request.deadline.into(), answer).await {
        Ok(answer) => answer,
        Err(_) => Err(upstream::Error {
            upstream: target.upstream,
            ran: Ran::Unknown,
            kind: Kind::Timeout,
        }),
    }
}
