//! One online request on its way to an upstream.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use http::Response;
use tinbank_allocator::{
    admission::Admission,
    frame::{Meter, Queue},
    lease::{Class, Outcome},
};
use tinbank_base::id;
use tinbank_relay::{
    attempt::{Attempts, Failure, Next},
    event,
    route::{Kind, Route},
    silence::AttemptTimeout,
};

use super::{
    RETRY_AFTER,
    attempt::{self, StartedAnswer, Trouble},
    body, reply_with,
    stream::Stream,
};
use crate::{
    border::{
        Body,
        engine::{self, Verdict},
        ingress::Reply,
    },
    clock::Moment,
    measure,
    node::Node,
    sharing::{Allocation, Lease, SlotSpec},
};

/// Attempts that did not run, after which a request is refused.
const MAX_REFUSALS: usize = 6;

/// A request on its way.
pub(super) struct Online {
    node: Rc<Node>,
    pub route: Rc<Route>,
    pub request: Rc<engine::Request>,
    pub attempts: Attempts,
    admission: Admission,
    /// Until then its times are counted by both clocks.
    counted_at: Moment,
    /// When it was sent to the upstream that has it, if it did not have to wait inside it.
    began_at: Option<Instant>,
    /// Event behind which the caller goes on, if it had a part of the answer before.
    resume_after: Option<event::Id>,
    /// All slots were in use.
    overloaded: bool,
    /// Rank among those that wait; 0 is the highest.
    rank: u8,
    /// Name of its customer, if it is a customer's.
    customer: Option<id::Customer>,
    /// Whose allowance it is counted against, until it has been.
    meter: Option<Meter>,
    /// When its customer, which has used up its allowance, may come again.
    over_limit: Option<Duration>,
    /// Until when no upstream gets it, because upstreams end under it.
    held_until: Option<Instant>,
    /// The caller has its whole answer, or was told that there is none.
    pub ended: bool,
}

impl Drop for Online {
    fn drop(&mut self) {
        if !self.ended {
            let waited_ms = self.admission.received.elapsed().as_millis() as u64;
            log::info!(request:% = self.request.id, route:% = self.route.name, waited_ms; "caller left before the end");
        }
    }
}

/// When and with what a request came.
pub(super) struct Arrival {
    pub at: Moment,
    pub deadline: Instant,
    /// The caller has not come before.
    pub is_first: bool,
    /// Event behind which the caller goes on, if it had a part of the answer before.
    pub resume_after: Option<event::Id>,
    /// Rank among those that wait; 0 is the highest.
    pub rank: u8,
    /// Name of its customer, if it is a customer's.
    pub customer: Option<id::Customer>,
    /// Whose allowance it is counted against.
    pub meter: Option<Meter>,
}

impl Online {
    pub fn new(
        node: &Rc<Node>,
        route: Rc<Route>,
        request: Rc<engine::Request>,
        arrival: Arrival,
    ) -> Self {
        let admission = Admission {
            received: arrival.at.steady,
            deadline: arrival.deadline,
            target: route.target_latency,
            is_late: !arrival.is_first,
        };
        Self {
            node: Rc::clone(node),
            attempts: Attempts::new(route.kind, route.max_attempts),
            route,
            request,
            admission,
            counted_at: arrival.at,
            began_at: None,
            resume_after: arrival.resume_after,
            overloaded: false,
            rank: arrival.rank,
            customer: arrival.customer,
            meter: arrival.meter,
            over_limit: None,
            held_until: None,
            ended: false,
        }
    }

    /// When the answer has to be whole.
    pub fn deadline(&self) -> Instant {
        self.admission.deadline
    }

    pub async fn run(mut self) -> Response<Body> {
        let resume_after = self.resume_after;
        loop {
            let opened = match self.open(resume_after).await {
                Ok(opened) => opened,
                Err(next) => return self.give_up(next),
            };
            match opened.verdict {
                Verdict::Failed | Verdict::Impossible if self.is_worth_another(&opened) => {
                    opened.lease.set_outcome(Outcome::Failed);
                }
                _ => return self.answer(opened, resume_after),
            }
        }
    }

    /// An answer that an upstream began, or what to tell the caller.
    async fn open(&mut self, resume_after: Option<u64>) -> Result<StartedAnswer, Next> {
        let mut refusals = 0;
        loop {
            let Some(opened) = self.attempt(resume_after).await? else {
                refusals += 1;
                match self.attempts.next() {
                    Next::Retry if refusals < MAX_REFUSALS => continue,
                    Next::Retry => return Err(self.attempts.give_up()),
                    next => return Err(next),
                }
            };
            return Ok(opened);
        }
    }

    /// One attempt. Nothing if it gave no answer, which is noted.
    pub async fn attempt(&mut self, resume_after: Option<u64>) -> Result<Option<StartedAnswer>, Next> {
        self.count_suspended();
        let now = Instant::now();
        if now >= self.admission.deadline {
            return Err(self.attempts.give_up());
        }
        // Asked for again in `attempt::send`: this one spares the wait for a slot, and the caller hears at once.
        self.held_until = self.node.quarantine.held_until(&self.request, now);
        if self.held_until.is_some() {
            return Err(self.attempts.give_up());
        }
        let Some(service) = self.route.service(self.node.draw()).cloned() else {
            return Err(self.attempts.give_up());
        };
        let pauses = self.node.notice_pause();
        let lease = self.lease(&service).await?;
        if self.node.notice_pause() != pauses {
            // Its slot may be another one's by now, and its time may be over.
            return Ok(None);
        }
        let upstream = lease.upstream.clone();
        self.log_sent(&lease, resume_after);
        self.began_at = (!lease.queued).then(Instant::now);
        let until = self.answer_until(lease.queued);
        let sent = attempt::send(
            &self.node,
            lease,
            &self.request,
            resume_after,
            self.admission.deadline,
            until,
        );
        match sent.await {
            Ok(opened) => Ok(Some(opened)),
            Err(trouble) => {
                self.note(&upstream, trouble);
                Ok(None)
            }
        }
    }

    /// Takes time off that has passed while the host was suspended, which the steady clock has not counted. Otherwise an
    /// upstream would work on for as long after its caller has left.
    fn count_suspended(&mut self) {
        let now = Moment::read();
        let suspended = now.suspended_since(self.counted_at);
        self.counted_at = now;
        let earlier = |at: Instant| at.checked_sub(suspended).unwrap_or(at);
        self.admission.received = earlier(self.admission.received);
        self.admission.deadline = earlier(self.admission.deadline);
    }

    /// A slot at an upstream of a service, or what to tell the caller.
    async fn lease(&mut self, service: &str) -> Result<Lease, Next> {
        let queue = self.queue();
        let spec = SlotSpec {
            class: Class::Online,
            service,
            exclude: self.attempts.tried(),
            queue,
            rank: self.rank,
            meter: self.meter.as_ref(),
        };
        match self.node.sharing.lease(&self.node, &spec).await {
            Allocation::Granted(lease) => {
                // Further attempts are of the same request.
                self.meter = None;
                Ok(lease)
            }
            Allocation::OverLimit(returns_in) => {
                self.over_limit = Some(returns_in);
                Err(self.attempts.give_up())
            }
            Allocation::Full => {
                self.overloaded = true;
                Err(self.attempts.give_up())
            }
            Allocation::NoUpstream => Err(self.attempts.give_up()),
        }
    }

    fn log_sent(&self, lease: &Lease, resume_after: Option<u64>) {
        let now = Instant::now();
        let view = &self.node.view;
        log::info!(
            request:% = self.request.id,
            route:% = self.route.name,
            customer:% = self.customer.as_deref().unwrap_or_default(),
            config = view.config().map_or(0, |config| config.version),
            upstream:% = lease.upstream,
            allocator:% = lease.granted_by(),
            list_age_ms = view.upstreams_age(now).map_or(0, |age| age.as_millis() as u64),
            queued = lease.queued,
            late = self.admission.is_late,
            waited_ms = now.saturating_duration_since(self.admission.received).as_millis() as u64,
            after = resume_after.unwrap_or(0),
            left_ms = self.admission.deadline.saturating_duration_since(now).as_millis() as u64;
            "request sent to an upstream"
        );
    }

    /// Whether this request may wait for a slot. One whose answer has begun is never turned away.
    fn queue(&self) -> Queue {
        if self.resume_after.is_some() || self.attempts.may_have_run() {
            return Queue::Any;
        }
        let usual = self.node.usual(&self.route);
        self.admission.queue(usual, Instant::now())
    }

    /// The first event of the answer has come.
    pub fn note_first_event(&self) {
        if let Some(at) = self.began_at {
            self.node.note_first_event(&self.route, at.elapsed());
        }
    }

    /// The answer has come whole.
    pub fn note_served(&self) {
        if let Some(at) = self.began_at {
            self.node.note_held(&self.route, at.elapsed());
        }
    }

    /// Until when this attempt may stay without an answer. Only a request that may run again is given up for silence,
    /// and one that waits inside a full upstream only once it is late.
    fn answer_until(&self, is_queued: bool) -> Instant {
        let another = self.route.kind.is_idempotent()
            && !self.attempts.may_have_run()
            && self.route.max_attempts > 1;
        if !another {
            return self.admission.deadline;
        }
        let timeout = AttemptTimeout {
            target: self.route.target_latency,
            is_queued,
            is_late: self.admission.is_late,
            typical_hold: self.node.usual(&self.route).held,
        };
        timeout
            .deadline(Instant::now())
            .min(self.admission.deadline)
    }

    fn note(&mut self, upstream: &id::Instance, trouble: Trouble) {
        let failure = match trouble {
            Trouble::NotRun | Trouble::HeldBack => Failure::NotRun,
            Trouble::Lost | Trouble::Silent => Failure::Unknown,
        };
        self.attempts.record(upstream.clone(), failure);
    }

    /// Notes an upstream's own failure. True if the request may be sent to another one.
    fn is_worth_another(&mut self, opened: &StartedAnswer) -> bool {
        if opened.verdict == Verdict::Impossible {
            return false;
        }
        self.attempts
            .record(opened.lease.upstream.clone(), Failure::Unknown);
        self.attempts.next() == Next::Retry
    }

    fn answer(mut self, opened: StartedAnswer, resume_after: Option<u64>) -> Response<Body> {
        let StartedAnswer {
            lease,
            head,
            body,
            guard,
            verdict,
        } = opened;
        measure::began(self.admission.received.elapsed());
        let node = Rc::clone(&self.node);
        let passed = self.node.engine.pass_on(head);
        let is_stream =
            verdict == Verdict::Answer && matches!(self.route.kind, Kind::Stream { .. });
        let body: Body = match is_stream {
            true => Stream::new(self, lease, guard, body, resume_after).into_body(),
            false => {
                self.ended = true;
                self.note_first_event();
                self.note_served();
                let whole = match verdict {
                    Verdict::Failed => Outcome::Failed,
                    _ => Outcome::Served,
                };
                body::relayed(body, lease, guard, whole, self.admission.deadline)
            }
        };
        passed.body(body).unwrap_or_else(|error| {
            log::error!(error:%; "head of an answer can't be passed on");
            reply_with(&node, Reply::Failed)
        })
    }

    fn give_up(&mut self, next: Next) -> Response<Body> {
        self.ended = true;
        let id = &self.request.id;
        let tried = self.attempts.tried().len();
        let held_for = self
            .held_until
            .map(|until| until.saturating_duration_since(Instant::now()));
        let reply = match (next, held_for, self.over_limit) {
            (Next::Fail, ..) | (_, None, None) => self.refusal(next),
            (_, Some(retry_after), _) => Reply::HeldBack { retry_after },
            (_, None, Some(retry_after)) => Reply::OverQuota { retry_after },
        };
        let late = self.admission.is_late;
        let waited_ms = self.admission.received.elapsed().as_millis() as u64;
        log::info!(request:% = id, route:% = self.route.name, tried, late, waited_ms, reply:?; "no answer");
        reply_with(&self.node, reply)
    }

    /// What the caller is told where neither its content nor its customer's allowance is the reason.
    fn refusal(&self, next: Next) -> Reply {
        match next {
            Next::Refuse | Next::Retry if self.overloaded => {
                let usual = self.node.usual(&self.route);
                Reply::NotRun {
                    retry_after: self.admission.retry_after(usual, self.node.draw()),
                }
            }
            Next::Refuse | Next::Retry => Reply::NotRun {
                retry_after: RETRY_AFTER,
            },
            Next::Fail if Instant::now() >= self.admission.deadline => Reply::TimedOut,
            Next::Fail => Reply::Failed,
        }
    }
}
