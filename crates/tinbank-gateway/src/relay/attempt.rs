//! One attempt at an upstream, for online requests and batch items alike.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use http::response::Parts;
use tinbank_allocator::lease::Outcome;
use tinbank_quarantine::fingerprint::short;
use tinbank_relay::event;

use super::answer::{Answer, Witness};
use crate::{
    border::engine::{Attempt, Request, Verdict},
    exchange::{self, ConnectionGuard, Deadlines, Error},
    measure,
    node::Node,
    sharing::Lease,
};

/// How long a new connection to an upstream may take, if it is not far away. Source: far above a round trip between failure
/// domains, far below a target latency; the request was not sent by then, so it goes elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// An attempt without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// It provably did not run.
    NotRun,
    /// It was not sent, because upstreams end under it.
    HeldBack,
    /// The connection was lost; it may have run.
    Lost,
    /// There was no answer in time; it may have run.
    Silent,
}

/// An answer that has begun.
pub(crate) struct Opened {
    pub lease: Lease,
    pub head: Parts,
    pub body: Answer,
    pub guard: ConnectionGuard,
    pub verdict: Verdict,
}

/// Sends a request to the upstream of a lease. The upstream works on it until `deadline`; its answer has to begin by
/// `until`.
pub(crate) async fn send(
    node: &Rc<Node>,
    lease: Lease,
    request: &Rc<Request>,
    resume_after: Option<event::Id>,
    deadline: Instant,
    until: Instant,
) -> Result<Opened, Trouble> {
    let now = Instant::now();
    // The one place through which requests, resumed streams and items go to upstreams. It may have waited for its slot while
    // other copies of it ended upstreams.
    if node.quarantine.held_until(request, now).is_some() {
        return Err(held_back(request, &lease));
    }
    let attempt = Attempt {
        instance: &lease.upstream,
        time_left: deadline.saturating_duration_since(now),
        resume_after,
    };
    let sent = exchange::send(
        lease.address,
        node.engine.encode(request, attempt),
        Deadlines {
            connect: now + CONNECT_TIMEOUT.max(lease.patience()),
            response: until,
        },
    );
    let sent = sent.await;
    let witness = Witness {
        node: Rc::clone(node),
        request: Rc::clone(request),
        upstream: lease.upstream.clone(),
        address: lease.address,
        reached: Cell::new(resume_after.unwrap_or_default()),
    };
    let (answer, guard) = match sent {
        Ok(answered) => answered,
        Err(error) => {
            if matches!(error, Error::Lost(_)) {
                witness.broken();
            }
            return Err(failed(request, &lease, error));
        }
    };
    let (head, body) = answer.into_parts();
    let body = Answer::new(body, witness);
    let verdict = node.engine.classify(request, &head);
    match verdict {
        Verdict::Answer | Verdict::Failed | Verdict::Unprocessable => Ok(Opened {
            lease,
            head,
            body,
            guard,
            verdict,
        }),
        Verdict::NotRun => Err(refused(request, &lease, &head, "refused", Trouble::NotRun)),
        Verdict::OtherInstance => {
            node.view.leave(&lease.upstream);
            let why = "other_instance";
            Err(refused(request, &lease, &head, why, Trouble::NotRun))
        }
        Verdict::OtherRequest => {
            let why = "other_request";
            Err(refused(request, &lease, &head, why, Trouble::Lost))
        }
        Verdict::Unclear => Err(refused(request, &lease, &head, "unclear", Trouble::Lost)),
    }
}

/// A request that no upstream gets.
fn held_back(request: &Request, lease: &Lease) -> Trouble {
    let content = short(request.fingerprint());
    log::info!(request:% = request.id, content:%, upstream:% = lease.upstream; "request not sent, upstreams end under it");
    measure::record_failed_attempt("held_back");
    Trouble::HeldBack
}

/// An answer that is none to the request.
fn refused(
    request: &Request,
    lease: &Lease,
    head: &Parts,
    why: &'static str,
    trouble: Trouble,
) -> Trouble {
    let status = head.status.as_u16();
    log::info!(request:% = request.id, upstream:% = lease.upstream, status, why; "attempt refused");
    measure::record_failed_attempt(why);
    lease.end(match trouble {
        Trouble::NotRun | Trouble::HeldBack => Outcome::Refused,
        Trouble::Lost | Trouble::Silent => Outcome::Failed,
    });
    trouble
}

fn failed(request: &Request, lease: &Lease, error: Error) -> Trouble {
    log::info!(request:% = request.id, upstream:% = lease.upstream, error:%; "attempt without an answer");
    measure::record_failed_attempt(match error {
        Error::NotSent(_) => "not_sent",
        Error::Lost(_) => "lost",
        Error::Timeout => "silent",
    });
    let (trouble, outcome) = match error {
        Error::NotSent(_) => (Trouble::NotRun, Outcome::Silent),
        Error::Lost(_) => (Trouble::Lost, Outcome::Failed),
        Error::Timeout => (Trouble::Silent, Outcome::Silent),
    };
    lease.end(outcome);
    trouble
}
