//! An online request, from its arrival to its answer.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{Response, header};
use smallvec::SmallVec;
use tinbank_allocator::{
    admission::{Admission, Backlog},
    frame::{Meter, Queue, Share},
    lease::{Class, Outcome},
};
use tinbank_base::id;
use tinbank_origin::{Choice, Key, Origin};
use tinbank_quarantine::table::Denial;
use tinbank_relay::{
    attempt::{Attempts, Failure, Next},
    event,
    region::Allowed,
    route::{Kind, Route},
    timeout::AttemptTimeout,
};

use super::{
    RETRY_AFTER,
    attempt::{self, AttemptError, StartedAnswer},
    body, reply_with,
    stream::Stream,
    timer::Timer,
};
use crate::{
    border::{
        Body,
        engine::{self, Verdict},
        ingress::Reply,
    },
    clock::ClockReading,
    measure,
    node::Node,
    origin::{self, RunningStream},
    sharing::{Allocation, Lease, SlotSpec},
    stop,
};

/// Number of attempts without an answer after which a request is given up.
const MAX_REFUSALS: usize = 6;

/// An online request in progress.
pub(super) struct OnlineRequest {
    node: Rc<Node>,
    pub route: Rc<Route>,
    pub request: Rc<engine::Request>,
    pub attempts: Attempts,
    admission: Admission,
    /// Time up to which suspensions of the host are accounted for.
    suspension_checked_at: ClockReading,
    /// When it was sent to its current upstream, unless it was queued there.
    sent_at: Option<Instant>,
    /// When it was first sent to an upstream.
    begun_at: Option<Instant>,
    /// The upstream that may run it now.
    current: Option<id::Instance>,
    /// Last event that the caller already has, if it resumes an answer.
    resume_after: Option<event::Id>,
    /// The attempt that brought the first event of that answer, as the caller says.
    resumes: Option<String>,
    /// Identifies the stream that answers it, in all attempts of its caller.
    stream: Key,
    /// Where its events come from, once there are any. Further ones come from upstreams of the same build.
    origin: Option<Origin>,
    /// Set while the stream that answers it runs.
    running: Option<RunningStream>,
    /// Why the caller can't resume its stream, if so.
    refused: Option<Refused>,
    /// Whether it was refused a slot because all were in use.
    is_overloaded: bool,
    /// The backlog of its customer when it was refused a slot.
    backlog: Backlog,
    /// Priority among waiting requests; 0 is the highest.
    rank: u8,
    customer: Option<id::Customer>,
    /// The allowance that it counts against, until it was counted.
    meter: Option<Meter>,
    /// Whose share of the slots it takes.
    share: Option<Share>,
    /// Regions in which it may run.
    allowed: Allowed,
    /// Time after which the customer may retry, if it has used up its allowance.
    over_limit: Option<Duration>,
    /// Why it must not be sent, if it is quarantined because it or a part of its prompt crashes upstreams.
    quarantined: Option<Denial>,
    /// Whether the caller has its full answer or an error.
    pub is_finished: bool,
}

/// Until when a caller's stream can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refused {
    /// Until this host knows more.
    ForNow,
    ForGood,
}

impl Drop for OnlineRequest {
    fn drop(&mut self) {
        if !self.is_finished {
            let waited_ms = self.admission.received.elapsed().as_millis() as u64;
            log::info!(request:% = self.request.id, route:% = self.route.name, waited_ms; "caller left before the end");
        }
    }
}

/// Properties of a request on arrival.
pub(super) struct Arrival {
    pub at: ClockReading,
    pub deadline: Instant,
    /// Whether it is the caller's first try, as opposed to a retry.
    pub is_first_try: bool,
    /// Last event that the caller already has, if it resumes an answer.
    pub resume_after: Option<event::Id>,
    /// The attempt that brought the first event of that answer, as the caller says.
    pub resumes: Option<String>,
    /// Identifies the stream that answers the request, in all attempts of its caller.
    pub stream: Key,
    /// Priority among waiting requests; 0 is the highest.
    pub rank: u8,
    pub customer: Option<id::Customer>,
    /// The allowance that it counts against.
    pub meter: Option<Meter>,
    /// Whose share of the slots it takes.
    pub share: Option<Share>,
    /// Regions in which it may run.
    pub allowed: Allowed,
}

impl OnlineRequest {
    pub fn new(
        node: &Rc<Node>,
        route: Rc<Route>,
        request: Rc<engine::Request>,
        arrival: Arrival,
    ) -> Self {
        let admission = Admission {
            received: arrival.at.monotonic,
            deadline: arrival.deadline,
            target: route.target_latency,
            is_retry: !arrival.is_first_try,
        };
        Self {
            node: Rc::clone(node),
            attempts: Attempts::new(route.kind, route.max_attempts),
            route,
            request,
            admission,
            suspension_checked_at: arrival.at,
            sent_at: None,
            begun_at: None,
            current: None,
            resume_after: arrival.resume_after,
            resumes: arrival.resumes,
            stream: arrival.stream,
            origin: None,
            running: None,
            refused: None,
            is_overloaded: false,
            backlog: Backlog::default(),
            rank: arrival.rank,
            customer: arrival.customer,
            meter: arrival.meter,
            share: arrival.share,
            allowed: arrival.allowed,
            over_limit: None,
            quarantined: None,
            is_finished: false,
        }
    }

    /// Returns when the answer has to be complete.
    pub fn deadline(&self) -> Instant {
        self.admission.deadline
    }

    /// Sends the request to upstreams until one answers or no attempt is left.
    pub async fn run(mut self) -> Response<Body> {
        let resume_after = self.resume_after;
        if resume_after.is_some() && self.is_stream() && !self.find_origin().await {
            return self.respond_without_answer(Next::Refuse);
        }
        let node = Rc::clone(&self.node);
        let mut ending = pin!(node.stop.wait_until_ending());
        loop {
            let opened = tokio::select! {
                biased;
                opened = self.open(resume_after) => opened,
                () = ending.as_mut() => Err(self.give_up_at_exit()),
            };
            let started = match opened {
                Ok(started) => started,
                Err(next) => return self.respond_without_answer(next),
            };
            match started.verdict {
                Verdict::Failed | Verdict::Unprocessable if self.should_retry(&started) => {
                    started.lease.set_outcome(Outcome::Failed);
                }
                Verdict::Answer if self.is_stream() => {
                    return self.respond_with_stream(started, resume_after);
                }
                _ => {
                    let response = tokio::select! {
                        biased;
                        response = self.respond(started) => response,
                        () = ending.as_mut() => Err(self.give_up_at_exit()),
                    };
                    match response {
                        Ok(response) => return response,
                        Err(Next::Retry) => {}
                        Err(next) => return self.respond_without_answer(next),
                    }
                }
            }
        }
    }

    fn is_stream(&self) -> bool {
        matches!(self.route.kind, Kind::Stream { .. })
    }

    /// Finds out at which upstreams the caller's stream goes on, and returns whether it does.
    async fn find_origin(&mut self) -> bool {
        let services = self.route.services.iter().map(|it| it.service.as_str());
        let services: SmallVec<[&str; 2]> = services.collect();
        let choice =
            origin::find(&self.node, self.stream, &services, self.admission.deadline).await;
        let (service, build) = match &choice {
            Choice::At(origin, _) => (origin.service.as_str(), origin.build.clone()),
            Choice::Build(build) => ("", build.clone()),
            Choice::Refused(_) => ("", id::Build::default()),
        };
        let now = Instant::now();
        log::info!(
            request:% = self.request.id,
            resumes:% = self.resumes.as_deref().unwrap_or_default(),
            stream:% = format_args!("{:016x}", self.stream),
            after = self.resume_after.unwrap_or(0),
            origin = choice.label(),
            service:%,
            build:%,
            list_age_ms = self.node.view.upstreams_age(now).map_or(0, |age| age.as_millis() as u64),
            waited_ms = now.saturating_duration_since(self.admission.received).as_millis() as u64;
            "caller resumes a stream"
        );
        match choice {
            // What another service would write does not continue the stream.
            Choice::At(origin, _) if !self.route.has_service(&origin.service) => {
                self.refused = Some(Refused::ForGood);
            }
            Choice::At(origin, _) => self.origin = Some(origin),
            Choice::Build(build) => {
                let service = self.service().unwrap_or_default();
                self.origin = Some(Origin { service, build });
            }
            Choice::Refused(why) if why.is_temporary() => self.refused = Some(Refused::ForNow),
            Choice::Refused(_) => self.refused = Some(Refused::ForGood),
        }
        self.refused.is_none()
    }

    /// Tries upstreams until one starts to answer. Returns what to report to the caller if none does.
    async fn open(&mut self, resume_after: Option<u64>) -> Result<StartedAnswer, Next> {
        let mut refusals = 0;
        loop {
            let Some(started) = self.attempt(resume_after).await? else {
                refusals += 1;
                match self.attempts.next() {
                    Next::Retry if refusals < MAX_REFUSALS => continue,
                    Next::Retry => return Err(self.attempts.give_up()),
                    next => return Err(next),
                }
            };
            return Ok(started);
        }
    }

    /// Makes one attempt. Returns `None` if it gave no answer.
    pub async fn attempt(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Option<StartedAnswer>, Next> {
        self.current = None;
        self.subtract_suspension();
        let quarantine = &self.node.quarantine;
        let deadline = self.admission.deadline;
        quarantine.wait_for_probes(&self.request, deadline).await;
        let now = Instant::now();
        if now >= self.admission.deadline {
            return Err(self.attempts.give_up());
        }
        // Checked again in `attempt::send`; this check avoids the wait for a slot.
        self.quarantined = self.node.quarantine.denial(&self.request, now);
        if self.quarantined.is_some() {
            return Err(self.attempts.give_up());
        }
        let Some(service) = self.service() else {
            return Err(self.attempts.give_up());
        };
        let pauses = self.node.check_for_pause();
        let lease = match self.attempts.may_have_run() {
            true => self.lease(&service).await?,
            false => self.lease_unless_too_late(&service).await?,
        };
        if self.node.check_for_pause() != pauses {
            // The slot may have been reassigned during the suspension, and the deadline may have passed.
            return Ok(None);
        }
        let upstream = lease.upstream.clone();
        self.log_sent(&lease, resume_after);
        self.sent_at = (!lease.queued).then(Instant::now);
        if matches!(self.route.kind, Kind::Stream { .. }) {
            lease.start_meter();
        }
        self.begun_at.get_or_insert_with(Instant::now);
        self.current = Some(upstream.clone());
        let answer_by = self.answer_deadline(lease.queued);
        let sent = attempt::send(
            &self.node,
            lease,
            &self.request,
            resume_after,
            self.admission.deadline,
            answer_by,
        );
        match sent.await {
            Ok(started) => Ok(Some(started)),
            Err(error) => {
                self.record_failure(&upstream, error);
                Ok(None)
            }
        }
    }

    /// Returns the service for an attempt: the one that the events come from, if there are any.
    fn service(&self) -> Option<id::Service> {
        let known = self.origin.as_ref().map(|it| &it.service);
        let service = known.or_else(|| self.route.service(self.node.next_draw()));
        service.cloned()
    }

    /// Moves the deadline forward by the time that the host was suspended, which the monotonic clock does not count. Otherwise
    /// an upstream would work on the request after its caller has left.
    fn subtract_suspension(&mut self) {
        let now = ClockReading::read();
        let suspended = now.suspended_since(self.suspension_checked_at);
        self.suspension_checked_at = now;
        let earlier = |at: Instant| at.checked_sub(suspended).unwrap_or(at);
        self.admission.received = earlier(self.admission.received);
        self.admission.deadline = earlier(self.admission.deadline);
    }

    /// Returns a slot at an upstream of a service, or what to report to the caller. A request that has not run is rejected, even
    /// while it waits for a slot, as soon as this host could not finish it before it stops.
    async fn lease_unless_too_late(&mut self, service: &str) -> Result<Lease, Next> {
        let (node, route) = (Rc::clone(&self.node), Rc::clone(&self.route));
        let deadline = self.admission.deadline;
        tokio::select! {
            biased;
            () = stop::wait_until_too_late(node, route, deadline) => {
                self.record_stop_rejection("not_run");
                Err(Next::Refuse)
            }
            lease = self.lease(service) => lease,
        }
    }

    /// Returns what to report to the caller of a request without a response when the grace period ends.
    fn give_up_at_exit(&mut self) -> Next {
        if let Some(upstream) = self.current.take() {
            self.attempts.record(upstream, Failure::Unknown);
        }
        let next = self.attempts.give_up();
        self.record_stop_rejection(match next {
            Next::Fail => "failed",
            Next::Retry | Next::Refuse => "not_run",
        });
        next
    }

    fn record_stop_rejection(&self, reply: &'static str) {
        let left_ms = |at: Instant| {
            let left = at.saturating_duration_since(Instant::now());
            left.as_millis() as u64
        };
        let longest = self.node.longest_response(&self.route);
        log::info!(
            request:% = self.request.id,
            route:% = self.route.name,
            left_ms = left_ms(self.admission.deadline),
            grace_left_ms = self.node.stop.grace().map_or(0, |it| left_ms(it.ends_at)),
            longest_ms = longest.map_or(0, |it| it.as_millis() as u64),
            waited_ms = self.admission.received.elapsed().as_millis() as u64,
            reply;
            "request given up, this host stops"
        );
        measure::record_stop_rejection(reply);
    }

    /// Returns a slot at an upstream of a service, or what to report to the caller.
    async fn lease(&mut self, service: &str) -> Result<Lease, Next> {
        let queue = self.queue_policy();
        let spec = SlotSpec {
            class: Class::Online,
            service,
            build: self.origin.as_ref().map(|it| &it.build),
            exclude: self.attempts.tried(),
            queue,
            rank: self.rank,
            meter: self.meter.as_ref(),
            share: self.share.as_ref(),
            size: &self.request.size,
            allowed: &self.allowed,
            max_gap: self.route.event_gap,
        };
        match self.node.sharing.lease(&self.node, &spec).await {
            Allocation::Granted(lease) => {
                // Further attempts of the same request are not counted again.
                self.meter = None;
                Ok(lease)
            }
            Allocation::OverLimit(retry_after) => {
                self.over_limit = Some(retry_after);
                Err(self.attempts.give_up())
            }
            Allocation::Full(backlog) => {
                self.is_overloaded = true;
                self.backlog = backlog;
                Err(self.attempts.give_up())
            }
            // Only batch items are told what they lack.
            Allocation::Lacking(_) => Err(self.attempts.give_up()),
            Allocation::NoUpstream => {
                let origin = self.origin.as_ref();
                if origin.is_some_and(|it| !origin::may_serve(&self.node, it)) {
                    self.refused = Some(Refused::ForGood);
                }
                Err(self.attempts.give_up())
            }
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
            build:% = lease.origin.build,
            allocator:% = lease.granted_by(),
            list_age_ms = view.upstreams_age(now).map_or(0, |age| age.as_millis() as u64),
            queued = lease.queued,
            late = self.admission.is_retry,
            waited_ms = now.saturating_duration_since(self.admission.received).as_millis() as u64,
            after = resume_after.unwrap_or(0),
            resumes:% = self.resumes.as_deref().unwrap_or_default(),
            left_ms = self.admission.deadline.saturating_duration_since(now).as_millis() as u64;
            "request sent to an upstream"
        );
    }

    /// Returns whether and where the request may wait for a slot. One whose answer has started is never refused.
    fn queue_policy(&self) -> Queue {
        if self.resume_after.is_some() || self.attempts.may_have_run() {
            return Queue::InUpstream;
        }
        let usual = self.node.usual(&self.route);
        self.admission.queue(usual, Instant::now())
    }

    /// Records that the first event of the answer was received, with the lease of its upstream.
    pub fn record_first_event(&mut self, lease: Option<&Lease>) {
        if let Some(lease) = lease {
            let origin = self.origin.get_or_insert_with(|| lease.origin.clone());
            if self.route.kind == (Kind::Stream { resumable: true }) {
                self.running = Some(origin::begin(&self.node, self.stream, origin));
            }
        }
        if let Some(at) = self.sent_at {
            self.node.record_first_event(&self.route, at.elapsed());
        }
    }

    /// Records that the complete answer was received.
    pub fn record_completion(&self) {
        if let Some(at) = self.sent_at {
            self.node.record_slot_time(&self.route, at.elapsed());
        }
    }

    /// Returns what measures the time of the response, unless it is only the rest of one.
    pub fn timer(&self) -> Option<Timer> {
        if self.resume_after.is_some() {
            return None;
        }
        Some(Timer {
            node: Rc::clone(&self.node),
            route: Rc::clone(&self.route),
            begun_at: self.begun_at?,
        })
    }

    /// Returns by when the upstream has to start its answer. This is before the request's deadline only if the request may
    /// run again.
    fn answer_deadline(&self, is_queued: bool) -> Instant {
        let may_run_again = self.route.kind.is_idempotent()
            && !self.attempts.may_have_run()
            && self.route.max_attempts > 1;
        if !may_run_again {
            return self.admission.deadline;
        }
        let timeout = AttemptTimeout {
            target: self.route.target_latency,
            is_queued,
            is_late: self.admission.is_retry,
            typical_slot_time: self.node.usual(&self.route).slot_time,
        };
        timeout
            .deadline(Instant::now())
            .min(self.admission.deadline)
    }

    fn record_failure(&mut self, upstream: &id::Instance, error: AttemptError) {
        self.current = None;
        let failure = match error {
            // Nothing was sent, so the upstream is not excluded.
            AttemptError::Postponed => return,
            AttemptError::NotRun | AttemptError::Quarantined => Failure::NotRun,
            AttemptError::Lost | AttemptError::Unresponsive => Failure::Unknown,
        };
        self.attempts.record(upstream.clone(), failure);
    }

    /// Records an answer that reports a failure. Returns whether the request may be sent to another upstream.
    fn should_retry(&mut self, started: &StartedAnswer) -> bool {
        if started.verdict == Verdict::Unprocessable {
            return false;
        }
        self.attempts
            .record(started.lease.upstream.clone(), Failure::Unknown);
        self.attempts.next() == Next::Retry
    }

    fn respond_with_stream(
        self,
        started: StartedAnswer,
        resume_after: Option<u64>,
    ) -> Response<Body> {
        let StartedAnswer {
            lease,
            mut head,
            body,
            guard,
            ..
        } = started;
        measure::record_response_start(self.admission.received.elapsed());
        // The rest of the stream may come from another upstream, and have another length.
        head.headers.remove(header::CONTENT_LENGTH);
        let node = Rc::clone(&self.node);
        let response = node.engine.caller_response(head);
        let body = Stream::new(self, lease, guard, body, resume_after).into_body();
        finish(&node, response, body)
    }

    /// Forwards an answer once it goes beyond its head. Returns what to do if it does not.
    async fn respond(&mut self, started: StartedAnswer) -> Result<Response<Body>, Next> {
        let StartedAnswer {
            lease,
            head,
            body,
            guard,
            verdict,
        } = started;
        let deadline = self.admission.deadline;
        let Some(body) = body::begin(body, deadline).await else {
            log::info!(request:% = self.request.id, upstream:% = lease.upstream; "upstream broke an answer off after its head");
            measure::record_failed_attempt("broken_body");
            lease.set_outcome(Outcome::Failed);
            self.attempts
                .record(lease.upstream.clone(), Failure::Unknown);
            return Err(self.attempts.next());
        };
        measure::record_response_start(self.admission.received.elapsed());
        let response = self.node.engine.caller_response(head);
        self.is_finished = true;
        self.record_first_event(None);
        self.record_completion();
        let outcome = match verdict {
            Verdict::Failed => Outcome::Failed,
            _ => Outcome::Served,
        };
        let body = body::forward(body, lease, guard, outcome, deadline, self.timer());
        Ok(finish(&self.node, response, body))
    }

    fn respond_without_answer(&mut self, next: Next) -> Response<Body> {
        self.is_finished = true;
        let id = &self.request.id;
        let tried = self.attempts.tried().len();
        let reply = match (next, self.quarantined, self.over_limit) {
            (Next::Fail, ..) | (_, None, None) => self.refusal(next),
            (_, Some(denial), _) => Reply::HeldBack {
                // Only one of the requests with a part is sent then.
                retry_after: denial
                    .until
                    .saturating_duration_since(Instant::now())
                    .max(RETRY_AFTER),
                part: self.request.part_id(denial.subject).cloned(),
            },
            (_, None, Some(retry_after)) => Reply::OverQuota { retry_after },
        };
        let late = self.admission.is_retry;
        let waited_ms = self.admission.received.elapsed().as_millis() as u64;
        log::info!(request:% = id, route:% = self.route.name, tried, late, waited_ms, reply:?; "no answer");
        reply_with(&self.node, reply)
    }

    /// Returns the reply for a request that is neither quarantined nor over its customer's limit.
    fn refusal(&self, next: Next) -> Reply {
        match next {
            Next::Refuse | Next::Retry if self.refused == Some(Refused::ForGood) => {
                Reply::CannotResume {
                    retry_after: self.time_left(),
                }
            }
            Next::Refuse | Next::Retry if self.is_overloaded => Reply::NotRun {
                retry_after: self.overload_retry_after(),
            },
            Next::Refuse | Next::Retry => Reply::NotRun {
                retry_after: RETRY_AFTER,
            },
            Next::Fail if Instant::now() >= self.admission.deadline => Reply::TimedOut,
            Next::Fail => Reply::Failed,
        }
    }

    /// Returns how long the caller waits. One whose retry would be refused as well is told not to retry before.
    fn time_left(&self) -> Duration {
        let deadline = self.admission.deadline;
        deadline.saturating_duration_since(Instant::now())
    }

    /// Returns when the caller of a request should retry that was refused a slot because all were in use.
    fn overload_retry_after(&self) -> Duration {
        if let Some(retry_after) = self.backlog.retry_after() {
            measure::record_backlog_retry(retry_after);
            return retry_after;
        }
        let usual = self.node.usual(&self.route);
        self.admission.retry_after(usual, self.node.next_draw())
    }
}

/// Completes a response that forwards an answer.
fn finish(node: &Node, response: http::response::Builder, body: Body) -> Response<Body> {
    response.body(body).unwrap_or_else(|error| {
        log::error!(error:%; "head of an answer cannot be forwarded");
        reply_with(node, Reply::Failed)
    })
}
