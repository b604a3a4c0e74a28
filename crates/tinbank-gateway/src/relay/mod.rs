//! Relays a caller's request to an upstream, and its answer back.

pub(crate) mod answer;
pub(crate) mod attempt;
mod body;
mod online;
mod stream;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tinbank_allocator::frame::Meter;
use tinbank_customer::Caller;
use tinbank_relay::route::{Kind, Route};
use tokio::time;

pub(crate) use self::body::hold;
use self::online::{Arrival, Online};
use crate::{
    access::{self, AuthError},
    batch::{
        self,
        forward::{Forwarded, forward},
    },
    border::{
        Body,
        ingress::{self, Reply},
    },
    clock::ClockReading,
    measure,
    node::Node,
};

/// When a caller is told to ask again after a refusal. Source: the time in which a freed slot or a new list is likely.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);
/// How long a process that has just started lets a request wait for what it reads first. Source: that takes some ten
/// milliseconds where the store answers; a refusal costs a caller whose host was lost its last try.
const FIRST_READ: Duration = Duration::from_millis(250);
/// Longest time for which a request without a time limit of its own is held.
const LONGEST_TIME: Duration = Duration::from_secs(60);

/// Answers a request for a route.
pub(crate) async fn request(
    node: &Rc<Node>,
    call: ingress::Request,
    head: Parts,
    body: Incoming,
) -> Response<Body> {
    node.check_for_pause();
    let at = ClockReading::read();
    let received = at.monotonic;
    let Some(config) = node.view.config_once_known(received + FIRST_READ).await else {
        return refuse(node, &call.id, "no configuration known yet");
    };
    let Some(route) = config.route(&call.host, &call.path).cloned() else {
        return no_route(node, &call, config.version, received);
    };
    let caller =
        match access::authenticate(node, &config, &call.id, call.key.as_ref(), route.is_open) {
            Ok(caller) => caller,
            Err(AuthError::Unauthorized) => return reply_with(node, Reply::NoKey),
            Err(AuthError::StaleConfig) => {
                return refuse(node, &call.id, "key not in a configuration that may be old");
            }
        };
    let time = call.time_left.unwrap_or(LONGEST_TIME);
    let deadline = received + time.min(route.timeout);
    let body = match read(body, config.limits.body_bytes, deadline).await {
        Ok(body) => body,
        Err(reply) => return reply_with(node, reply),
    };
    if route.kind == Kind::Batch {
        return submit(node, &route, &caller, &call, &head, body, deadline).await;
    }
    let request = node
        .engine
        .relayed_request(&call.id, (&caller).into(), &head, body);
    let request = Rc::new(request);
    let arrival = Arrival {
        at,
        deadline,
        is_first: node.is_first_try(&route, time),
        resume_after: call.resume_after,
        rank: rank(&caller, &route),
        customer: caller.name().cloned(),
        meter: meter(&caller),
    };
    Online::new(node, route, request, arrival).run().await
}

/// The rank of a request: its customer's goes before its route's.
fn rank(caller: &Caller, route: &Route) -> u8 {
    let of_customer = caller.customer().and_then(|customer| customer.rank);
    of_customer.unwrap_or(route.rank)
}

/// Whose allowance a request is counted against.
fn meter(caller: &Caller) -> Option<Meter> {
    let customer = caller.customer()?;
    Some(Meter {
        customer: customer.name.clone(),
        limit: customer.limit?,
    })
}

/// Takes in a job, here or at a host that follows the log of jobs and reaches the store when this one does not.
async fn submit(
    node: &Node,
    route: &Route,
    caller: &Caller,
    call: &ingress::Request,
    head: &Parts,
    body: Bytes,
    deadline: Instant,
) -> Response<Body> {
    let mut refused = None;
    if node.feed.is_delegate() {
        let reply = batch::intake::submit(node, route, caller, call, &body, deadline).await;
        if !matches!(reply, Reply::NotRun { .. }) {
            return reply_with(node, reply);
        }
        refused = Some(reply);
    }
    match forward(node, &call.id, head, body, Duration::ZERO).await {
        Forwarded::Answered(answer) => answer,
        Forwarded::NotSent => {
            let refuse = || batch::intake::refuse(call, "no host reached that follows the log");
            reply_with(node, refused.unwrap_or_else(refuse))
        }
        // The other host may have taken it in.
        Forwarded::Unknown => reply_with(node, Reply::TimedOut),
    }
}

fn no_route(node: &Node, call: &ingress::Request, version: u64, now: Instant) -> Response<Body> {
    if !node.view.is_config_fresh(now) {
        return refuse(
            node,
            &call.id,
            "no route in a configuration that may be old",
        );
    }
    log::info!(request:% = call.id, host:% = call.host, path:% = call.path, version; "no route");
    reply_with(node, Reply::NoRoute)
}

fn refuse(node: &Node, id: &str, why: &'static str) -> Response<Body> {
    log::info!(request:% = id, why; "refused, not run");
    let reply = Reply::NotRun {
        retry_after: RETRY_AFTER,
    };
    reply_with(node, reply)
}

fn reply_with(node: &Node, reply: Reply) -> Response<Body> {
    measure::record_reply(&reply);
    node.ingress.encode(reply)
}

async fn read(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Reply> {
    let read = Limited::new(body, limit).collect();
    let error = match time::timeout_at(deadline.into(), read).await {
        Ok(Ok(body)) => return Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Reply::TooLarge),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "not whole in time".to_owned(),
    };
    log::info!(error:%; "body of a request not read");
    Err(Reply::NotRun {
        retry_after: RETRY_AFTER,
    })
}
