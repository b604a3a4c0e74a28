//! Relays callers' requests to upstreams and the answers back.

pub(crate) mod answer;
pub(crate) mod attempt;
mod body;
mod online;
pub(crate) mod read_ahead;
mod stream;
mod timer;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tinbank_allocator::frame::{Meter, Share};
use tinbank_customer::Caller;
use tinbank_origin::origin;
use tinbank_relay::{
    region::Allowed,
    route::{Config, Kind, Route},
};
use tokio::time;

pub(crate) use self::body::with_work_guard;
use self::{
    online::{Arrival, OnlineRequest},
    read_ahead::Hangup,
};
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
    prompt, region, share,
};

/// Value of `Retry-After` for a refused request: a free slot or a newer list is likely by then.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time for which requests wait for the first reads of the lists after a start. A refusal would waste what may be the last
/// try of a caller whose previous host failed.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a request that sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles a request to a route, including the submission of a job.
pub(crate) async fn request(
    node: &Rc<Node>,
    call: ingress::Request,
    head: Parts,
    body: Incoming,
    hangup: Hangup,
) -> Response<Body> {
    node.check_for_pause();
    let at = ClockReading::read();
    let received = at.monotonic;
    let informed = time::timeout_at(
        (received + STARTUP_TIMEOUT).into(),
        node.wait_until_informed(),
    );
    let config = match informed.await {
        Ok(()) => node.view.config(),
        Err(_) => None,
    };
    let Some(config) = config else {
        return refuse(node, &call.id, "lists of the store not read yet");
    };
    let Some(route) = config.route(&call.host, &call.path).cloned() else {
        return no_route(node, &call, config.version, received);
    };
    let caller =
        match access::authenticate(node, &config, &call.id, call.key.as_ref(), route.is_open) {
            Ok(caller) => caller,
            Err(AuthError::Unauthorized) => return reply_with(node, Reply::NoKey),
            Err(AuthError::StaleConfig) => {
                return refuse(
                    node,
                    &call.id,
                    "key not found in a configuration that may be outdated",
                );
            }
        };
    let time = call.time_left.unwrap_or(DEFAULT_TIMEOUT);
    let deadline = received + time.min(route.timeout);
    let body = match read_body(body, config.limits.body_bytes, deadline).await {
        Ok(body) => body,
        Err(reply) => return reply_with(node, reply),
    };
    let stream = stream_key(&call, &caller);
    let allowed = region::of_customer(&route, caller.customer().map(|it| &**it));
    if route.kind == Kind::Batch {
        let allowed = allowed_for_job(node, &config, &call, &body, allowed);
        let job = Submitted {
            route: &route,
            caller: &caller,
            call: &call,
            head: &head,
            body,
            allowed: &allowed,
            deadline,
        };
        return submit(node, job).await;
    }
    let mut request = node
        .engine
        .relayed_request(&call.id, (&caller).into(), &head, body);
    prompt::retain_parts(&mut request.size, node.settings.scheduling, &route);
    let request = Rc::new(request);
    let arrival = Arrival {
        at,
        deadline,
        is_first_try: node.is_first_try(&route, time),
        resume_after: call.resume_after,
        resumes: call.resumes,
        stream,
        rank: rank(&caller, &route),
        customer: caller.name().cloned(),
        meter: meter(&caller),
        share: share_of(&caller),
        allowed,
    };
    let response = OnlineRequest::new(node, route, request, arrival)
        .run()
        .await;
    match &node.read_ahead {
        Some(read_ahead) => response.map(|body| read_ahead.wrap(body, hangup)),
        None => response,
    }
}

/// Returns the key of the stream that answers a call. One that resumes a stream names the attempt that began it.
fn stream_key(call: &ingress::Request, caller: &Caller) -> origin::Key {
    let resumed = call
        .resumes
        .as_ref()
        .filter(|_| call.resume_after.is_some());
    let customer = caller.customer().map(|it| it.name.as_str());
    origin::key(customer, &call.host, resumed.unwrap_or(&call.id))
}

/// Returns the rank of a request: that of its customer, or else that of its route.
fn rank(caller: &Caller, route: &Route) -> u8 {
    let of_customer = caller.customer().and_then(|customer| customer.rank);
    of_customer.unwrap_or(route.rank)
}

/// Returns the allowance that a request counts against.
fn meter(caller: &Caller) -> Option<Meter> {
    let customer = caller.customer()?;
    Some(Meter {
        customer: customer.name.clone(),
        limit: customer.limit?,
    })
}

/// Returns whose share of the slots a request takes.
fn share_of(caller: &Caller) -> Option<Share> {
    caller.customer().map(|it| share::of_customer(it))
}

/// A job that a caller submits.
struct Submitted<'a> {
    route: &'a Route,
    caller: &'a Caller,
    call: &'a ingress::Request,
    head: &'a Parts,
    body: Bytes,
    /// Regions in which its items may run.
    allowed: &'a Allowed,
    deadline: Instant,
}

/// Restricts the regions of a job to those that the routes of its items allow.
fn allowed_for_job(
    node: &Node,
    config: &Config,
    call: &ingress::Request,
    body: &[u8],
    allowed: Allowed,
) -> Allowed {
    // Bodies are decoded only where that can change anything. The host that accepts the job refuses a malformed one.
    if !region::is_any_route_restricted(config) {
        return allowed;
    }
    let items = node.ingress.items(body).unwrap_or_default();
    let paths = items.iter().map(|it| it.item.path.as_str());
    region::of_items(config, &call.host, paths, allowed)
}

/// Submits a job, here or at another host that follows the job log and reaches the store if this one can't.
async fn submit(node: &Node, job: Submitted<'_>) -> Response<Body> {
    let Submitted {
        route,
        caller,
        call,
        head,
        body,
        allowed,
        deadline,
    } = job;
    let mut refused = None;
    if node.feed.is_delegate() {
        let submitted =
            batch::submission::submit(node, route, caller, call, &body, allowed, deadline);
        let reply = submitted.await;
        let may_forward = node.settings.regions.permits_any(allowed);
        if !may_forward || !matches!(reply, Reply::NotRun { .. }) {
            return reply_with(node, reply);
        }
        refused = Some(reply);
    }
    match forward(node, &call.id, head, body, Duration::ZERO, allowed).await {
        Forwarded::Answered(answer) => answer,
        Forwarded::NotSent => {
            let refuse =
                || batch::submission::refuse(call, "no host that follows the job log was reached");
            reply_with(node, refused.unwrap_or_else(refuse))
        }
        // The other host may have accepted the job.
        Forwarded::Unknown => reply_with(node, Reply::TimedOut),
    }
}

fn no_route(node: &Node, call: &ingress::Request, version: u64, now: Instant) -> Response<Body> {
    if !node.view.is_config_fresh(now) {
        return refuse(
            node,
            &call.id,
            "no route in a configuration that may be outdated",
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

async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Reply> {
    let read = Limited::new(body, limit).collect();
    let error = match time::timeout_at(deadline.into(), read).await {
        Ok(Ok(body)) => return Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Reply::TooLarge),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "body not received in time".to_owned(),
    };
    log::info!(error:%; "request body not read");
    Err(Reply::NotRun {
        retry_after: RETRY_AFTER,
    })
}
