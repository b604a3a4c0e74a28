//! Admits requests within their customers' limits and the load of the upstreams. `tinbank-routing` makes the decisions.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use tinbank_base::{
    frame::demand::{ClaimRequest, Grant, Recall},
    id,
    outcome::{Code, Failure},
    record::Writer,
};
use tinbank_routing::{
    limit::{Keeper, LimitKind, Limiter, Refusal, keeper::Answer, scope::Kind},
    shed::{self, ActiveRequests},
};

use tokio::sync::Notify;

use crate::{
    clock,
    context::Context,
    request::{Request, Scopes},
};

/// Delay after which the caller of a shed request may retry.
const SHED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Admission control of this process, and the shares that it grants to other hosts of the limits that it keeps.
#[derive(Debug)]
pub(crate) struct Gate {
    state: Mutex<State>,
    keeper: Mutex<Keeper>,
    /// Wakes the task that sends claim requests to keepers.
    demand_changed: Notify,
}

#[derive(Debug)]
struct State {
    limiter: Limiter,
    active: ActiveRequests,
}

/// The admission of one request, which counts as running until this is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    ctx: Arc<Context>,
    customer: id::Customer,
    scopes: Scopes,
}

impl Gate {
    pub(crate) fn new(own: Writer, now: Instant) -> Self {
        let state = State {
            limiter: Limiter::new(own.process.host, now),
            active: ActiveRequests::default(),
        };
        Self {
            state: Mutex::new(state),
            keeper: Mutex::new(Keeper::new(own, now)),
            demand_changed: Notify::new(),
        }
    }

    /// Sets the hosts that share the limits.
    pub(crate) fn set_hosts(&self, hosts: BTreeSet<id::Host>, now: Instant) {
        self.keeper().set_hosts(hosts.clone(), now);
        self.state().limiter.set_hosts(hosts, now);
    }

    /// Waits until new demand makes a claim request urgent.
    pub(crate) async fn demand_changed(&self) {
        self.demand_changed.notified().await;
    }

    /// Returns the claim requests that are due, by keeper.
    pub(crate) fn claim_requests(&self, now: Instant) -> Vec<(id::Host, ClaimRequest)> {
        self.keeper().remove_expired(now);
        self.state().limiter.claim_requests(now)
    }

    /// Answers another host's claim request for limits kept here.
    pub(crate) fn on_claim_request(
        &self,
        from: Writer,
        ask: &ClaimRequest,
        now: Instant,
    ) -> Answer {
        self.keeper().on_claim_request(from, ask, now)
    }

    /// Applies a keeper's grant.
    pub(crate) fn on_grant(&self, from: id::Host, grant: &Grant, now: Instant) {
        let mut state = self.state();
        state.limiter.on_grant(from, grant, now);
        self.notify_if_urgent(&state);
    }

    /// Applies a keeper's recall, after which its limits are claimed again.
    pub(crate) fn on_recall(&self, from: id::Host, recall: &Recall, now: Instant) {
        let mut state = self.state();
        state.limiter.on_recall(from, recall, now);
        self.notify_if_urgent(&state);
    }

    fn notify_if_urgent(&self, state: &State) {
        if state.limiter.is_urgent() {
            self.demand_changed.notify_one();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn keeper(&self) -> MutexGuard<'_, Keeper> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit {
    /// Admits a request, or refuses it at once: requests are never queued.
    ///
    /// # Errors
    /// The request is over a limit, or the upstreams are overloaded and the customer is over its share. It was not run,
    /// and the failure says when to retry.
    pub(crate) fn acquire(
        ctx: &Arc<Context>,
        request: &Request,
        now: Instant,
    ) -> Result<Self, Failure> {
        let customer = &request.customer;
        let pressure = ctx.table.pressure(&request.service, now);
        let mut state = ctx.gate.state();
        if !shed::admits(
            pressure,
            state.active.customer_load(&customer.name, customer.share),
        ) {
            return Err(overloaded());
        }
        let begun = state.limiter.begin(&request.scopes, now);
        ctx.gate.notify_if_urgent(&state);
        begun.map_err(|refusal| over_limit(&customer.name, refusal, now))?;
        state.active.begin(&customer.name, customer.share);
        Ok(Self {
            ctx: ctx.clone(),
            customer: customer.name.clone(),
            scopes: request.scopes.clone(),
        })
    }

    /// Counts a generated token against the token limits.
    pub(crate) fn spend_token(&self) {
        if self.scopes.is_empty() {
            return;
        }
        let mut state = self.ctx.gate.state();
        state.limiter.spend(&self.scopes, 1, clock::now());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.ctx.gate.state();
        state.limiter.end(&self.scopes);
        state.active.end(&self.customer);
    }
}

fn overloaded() -> Failure {
    metrics::counter!("tinbank_online_shed_total").increment(1);
    let message = "the upstreams of the service are overloaded";
    Failure::not_run(Code::Overloaded, message).retry_at(SystemTime::now() + SHED_RETRY_DELAY)
}

fn over_limit(customer: &str, refusal: Refusal, now: Instant) -> Failure {
    let limit = match refusal.limit_kind {
        LimitKind::Requests => "requests a second",
        LimitKind::Tokens => "tokens a second",
        LimitKind::Concurrency => "requests at once",
    };
    metrics::counter!("tinbank_online_limited_total", "limit" => limit).increment(1);
    let wait = refusal.retry_at.saturating_duration_since(now);
    let whose = match refusal.scope {
        Kind::Customer => format!("customer {customer:?}"),
        Kind::Service => format!("the service of customer {customer:?}"),
        Kind::Stream => format!("the stream of customer {customer:?}"),
    };
    let message = format!("{whose} has reached its limit of {limit}");
    Failure::not_run(Code::LimitReached, message).retry_at(SystemTime::now() + wait)
}
