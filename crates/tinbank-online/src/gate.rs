//! Lets requests in as their customers' limits and the load allow. The decisions are `tinbank-routing`'s.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use tinbank_base::{
    id,
    outcome::{Code, Failure},
};
use tinbank_routing::{
    limit::{Limiter, Refusal, Which},
    shed::{self, Active},
};

use crate::{clock, context::Context, request::Request};

/// When a shed request should come back.
const SHED_WAIT: Duration = Duration::from_secs(2);

/// What is let in at this process.
#[derive(Debug)]
pub(crate) struct Gate {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limiter: Limiter,
    active: Active,
}

/// Leave for one request; it counts as running until this is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    ctx: Arc<Context>,
    customer: id::Customer,
}

impl Gate {
    /// A gate that lets nothing wait: it answers at once.
    pub(crate) fn new(host: id::Host) -> Self {
        let state = State {
            limiter: Limiter::new(host),
            active: Active::default(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Takes in which hosts share the limits.
    pub(crate) fn set_hosts(&self, hosts: impl IntoIterator<Item = id::Host>) {
        self.state().limiter.set_hosts(hosts);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit {
    /// Asks for leave.
    ///
    /// # Errors
    /// The request is over a limit, or the upstreams are overloaded and the customer is over its share. It was not run,
    /// and the failure says when to ask again.
    pub(crate) fn get(
        ctx: &Arc<Context>,
        request: &Request,
        now: Instant,
    ) -> Result<Self, Failure> {
        let customer = &request.customer;
        let pressure = ctx.table.pressure(&request.service, now);
        let mut state = ctx.gate.state();
        if !shed::admits(pressure, state.active.part(&customer.name, customer.share)) {
            return Err(overloaded());
        }
        let begun = state.limiter.begin(&customer.name, &customer.limits, now);
        begun.map_err(|refusal| over_limit(&customer.name, refusal, now))?;
        state.active.begin(&customer.name, customer.share);
        Ok(Self {
            ctx: ctx.clone(),
            customer: customer.name.clone(),
        })
    }

    /// A token was generated.
    pub(crate) fn spend_token(&self) {
        let mut state = self.ctx.gate.state();
        state.limiter.spend(&self.customer, 1, clock::now());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.ctx.gate.state();
        state.limiter.end(&self.customer);
        state.active.end(&self.customer);
    }
}

fn overloaded() -> Failure {
    metrics::counter!("tinbank_online_shed_total").increment(1);
    let message = "the upstreams of the service are overloaded";
    Failure::not_run(Code::Overloaded, message).retry_at(SystemTime::now() + SHED_WAIT)
}

fn over_limit(customer: &str, refusal: Refusal, now: Instant) -> Failure {
    let limit = match refusal.which {
        Which::Requests => "requests a second",
        Which::Tokens => "tokens a second",
        Which::AtOnce => "requests at once",
    };
    metrics::counter!("tinbank_online_limited_total", "limit" => limit).increment(1);
    let wait = refusal.retry_at.saturating_duration_since(now);
    let message = format!("customer {customer:?} has reached its limit of {limit}");
    Failure::not_run(Code::LimitReached, message).retry_at(SystemTime::now() + wait)
}
