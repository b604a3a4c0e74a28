//! The allocator: decides at which upstream a request may start.

mod choice;
mod paces;
mod queue;
mod reclaim;
mod slot_request;

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_allowance::{Counts, Tolerance};
use tinbank_base::id;

use self::choice::MAX_HEADROOM;
use crate::{
    cause::Cause,
    counting::Counting,
    entries::Entries,
    entry::Entry,
    frame::{Denial, Frame, HeartbeatReply, Holdings, Release, Room, SlotResponse, Verdict},
    grants::{self, Grants},
    lease::{self, Outcome},
    leaving::{Decision, Doubt, Evidence, Missing, Position, Reports},
    options::Options,
    order::{Denials, Order},
    pace,
    placement::{self, Placement},
    prefix::{Cache, Expectation},
    room::{self, Reporter},
    size::Tokens,
    slow_start::ColdStart,
    smoothed_duration::SmoothedDuration,
    waiting::WaitQueue,
};

/// How often a host reports its holdings, which is also its heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a lease that its holder no longer reports expires: three and a half heartbeats.
pub(crate) const LEASE_DURATION: Duration = Duration::from_millis(3_500);
/// Time without any slot request or heartbeat after which this allocator is no longer active.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a new allocator grants nothing to batch, so that every host reports its holdings first.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// Minimum time between two reports of oversized requests, so that a caller that repeats one does not fill the log.
const OVERSIZED_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum percentage of a service's upstreams in a failure domain that may be ejected at once. Up to a third of the
/// upstreams may be lost at once.
const MAX_EJECTED_PERCENT: usize = 50;

/// An upstream whose slots may be allocated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name.
    pub instance: id::Instance,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service it runs.
    pub service: id::Service,
    /// Build of its software.
    pub build: id::Build,
    /// How many requests it processes concurrently.
    pub slots: usize,
    /// Memory for requests and kept prompts, in tokens; `None` if the configuration does not say.
    pub memory_tokens: Option<Tokens>,
    /// How many connections it accepts from all hosts together; `None` if the configuration does not say.
    pub max_connections: Option<u32>,
    /// Rate limit that applies while the upstream is cold.
    pub cold: Option<ColdStart>,
}

/// Datagrams to send, with their destinations.
pub type Outgoing = SmallVec<[(SocketAddr, Frame); 2]>;

/// A change of the allocator's state that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// Two hosts reported failures of an upstream; it gets no request for a while.
    Ejected(id::Instance),
    /// A host reported that the upstream is leaving.
    Left(id::Instance),
    /// A host reported that the upstream is leaving, which was not acted on.
    ReportRefused {
        /// The upstream.
        upstream: id::Instance,
        /// Which host reported it.
        from: SocketAddr,
        /// Why the report was not acted on.
        why: Doubt,
    },
    /// An upstream has become slower than the others of its service, and gets fewer requests.
    Slowed(id::Instance),
    /// An upstream is no longer slow.
    Recovered(id::Instance),
    /// The allocator had been idle, and collects holdings before it grants slots to batch.
    Learning,
    /// A request was denied because no upstream of its service has enough memory. Not reported for each request.
    Oversized(Oversized),
}

/// A request that fits no upstream, even one that processes nothing else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Oversized {
    /// The service it is for.
    pub service: id::Service,
    /// Size of its prompt.
    pub prompt_tokens: Tokens,
}

/// The state of an allocator. It serves any host that sends requests; two active allocators are harmless, because each
/// host uses only one of them.
#[derive(Debug)]
pub struct Allocator {
    upstreams: Entries,
    /// Whether upstreams were removed since the last list, because hosts reported that they are leaving.
    has_removed_upstreams: bool,
    reports: Reports,
    /// Lower bound of the time at which the next lease expires.
    next_expiry: Option<Instant>,
    last_contact: Option<Instant>,
    learning_until: Option<Instant>,
    rotation: u64,
    /// Sent in response to heartbeats.
    heartbeat_reply: HeartbeatReply,
    /// How long online requests hold a slot.
    slot_time: SmoothedDuration,
    /// Online requests for which no slot was free.
    wait_queue: WaitQueue,
    /// Which of them is served first.
    order: Box<dyn Order>,
    /// Where a request starts.
    placement: Box<dyn Placement>,
    /// Whether it depends on the parts of prompts that upstreams keep.
    prefix_affinity: bool,
    /// What placements came to since the summary was taken.
    summary: placement::Summary,
    /// An oversized request that is to be reported.
    oversized: Option<Oversized>,
    /// Until then, no oversized request is reported.
    oversized_quiet_until: Option<Instant>,
    /// The usual paces of upstreams, if hosts measure them.
    services: Option<pace::Services>,
    /// State changes that are yet to be returned.
    changes: VecDeque<StateChange>,
    /// How much of their allowances customers have used, and the hosts that use the allocators of this host.
    counting: Rc<RefCell<Counting>>,
    /// Free slots that are reported; `None` if they are not.
    reporter: Option<Reporter>,
}

impl Allocator {
    /// Creates an allocator with the default options, see [`Self::with_options`].
    pub fn new(seed: u64, tolerance: Tolerance) -> Self {
        Self::with_options(seed, tolerance, Options::default())
    }

    /// Creates an allocator without upstreams or leases. `seed` identifies this incarnation of the counter and makes
    /// different hosts start at different upstreams among equally loaded ones.
    pub fn with_options(seed: u64, tolerance: Tolerance, options: Options) -> Self {
        Self::with_order(seed, tolerance, options.order(), options)
    }

    /// Creates an allocator with another order than that of its options, see [`Self::with_options`].
    pub fn with_order(
        seed: u64,
        tolerance: Tolerance,
        order: Box<dyn Order>,
        options: Options,
    ) -> Self {
        let counting = Rc::new(RefCell::new(Counting::new(seed, tolerance)));
        Self::with_counting(seed, counting, order, options)
    }

    /// Creates an allocator for another failure domain at the same host. Both count customers' requests together, see
    /// `docs/design/vacant-failure-domains.md`.
    pub fn for_other_domain(&self, seed: u64, options: Options) -> Self {
        let counting = Rc::clone(&self.counting);
        Self::with_counting(seed, counting, options.order(), options)
    }

    fn with_counting(
        seed: u64,
        counting: Rc<RefCell<Counting>>,
        order: Box<dyn Order>,
        options: Options,
    ) -> Self {
        Self {
            upstreams: Entries::default(),
            has_removed_upstreams: false,
            reports: Reports::default(),
            next_expiry: None,
            last_contact: None,
            learning_until: None,
            rotation: seed,
            heartbeat_reply: HeartbeatReply::default(),
            slot_time: SmoothedDuration::default(),
            wait_queue: WaitQueue::default(),
            order,
            placement: options.placement(),
            prefix_affinity: options.prefix_affinity,
            summary: placement::Summary::default(),
            oversized: None,
            oversized_quiet_until: None,
            services: options.measures_pace().then(pace::Services::default),
            changes: VecDeque::new(),
            counting,
            reporter: options.share_room.then(Reporter::default),
        }
    }

    /// Sets the upstreams of the failure domain that accept requests. Queued requests for a service without any upstream
    /// left are denied at once, since another failure domain may still serve them in time.
    pub fn set_upstreams(&mut self, mut upstreams: Vec<Upstream>) -> Outgoing {
        self.has_removed_upstreams = self.reports.withhold(&mut upstreams);
        self.upstreams.replace(upstreams);
        self.apply_usual_paces();
        let upstreams = &self.upstreams;
        let has_upstream =
            |service: &str| upstreams.iter().any(|it| it.upstream.service == service);
        let unservable = self
            .wait_queue
            .remove_unless(|request| has_upstream(&request.service));
        let denied = unservable.into_iter().map(|waiter| {
            let response = SlotResponse {
                lease: waiter.request.lease,
                verdict: Verdict::Denied(Denial {
                    retry_after_ms: None,
                    cause: Cause::Upstream,
                }),
            };
            (waiter.from, Frame::SlotResponse(response))
        });
        denied.collect()
    }

    /// Sets the position up to which the list of upstreams was read. Called before the list is set.
    pub fn set_list_position(&mut self, position: Position) {
        self.set_list(position, Vec::new());
    }

    /// Sets the position up to which the list of upstreams was read, and which of them it has as missing since the store may have
    /// been away. Hosts that know that it was not report them. Called before the list is set.
    pub fn set_list(&mut self, position: Position, missing: Vec<Missing>) {
        self.reports.set_list(position, missing);
    }

    /// Returns whether upstreams of the last list were removed, because hosts reported that they are leaving.
    pub fn has_removed_upstreams(&self) -> bool {
        self.has_removed_upstreams
    }

    /// Returns what placements came to since the last call.
    pub fn take_summary(&mut self) -> placement::Summary {
        std::mem::take(&mut self.summary)
    }

    /// Sets how many hosts are listed.
    pub fn set_host_count(&mut self, listed: usize, now: Instant) {
        self.counting.borrow_mut().set_host_count(listed, now);
    }

    /// Sets what the allocator sends in response to heartbeats.
    pub fn set_heartbeat_reply(&mut self, reply: HeartbeatReply) {
        self.heartbeat_reply = reply;
    }

    /// Handles a datagram.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        frame: Frame,
        now: Instant,
    ) -> (Outgoing, Option<StateChange>) {
        let mut out = Outgoing::new();
        let has_pace = frame.has_pace();
        let change = match frame {
            Frame::SlotRequest(request) => {
                let change = self.record_contact(from, now);
                self.handle_request(from, request, now, &mut out);
                change.or_else(|| self.oversized.take().map(StateChange::Oversized))
            }
            Frame::Release(release) => self.release(from, &release, now),
            Frame::Withdraw(lease) => {
                self.wait_queue.remove(from, lease);
                None
            }
            Frame::Holdings(holdings) => {
                let change = self.record_contact(from, now);
                self.apply_holdings(from, &holdings, now);
                let reply = HeartbeatReply {
                    room: self.room(now),
                    ..self.heartbeat_reply.clone()
                };
                out.push((from, Frame::HeartbeatReply(reply)));
                change
            }
            Frame::Counts(counts) => {
                self.counting.borrow_mut().apply(from, counts, now);
                None
            }
            Frame::Pace(report) => {
                self.apply_pace_report(from, &report, now);
                None
            }
            Frame::SlotResponse(_)
            | Frame::Reclaim(_)
            | Frame::HeartbeatReply(_)
            | Frame::Ping
            | Frame::Denial(_)
            | Frame::Room(_)
            | Frame::Overloaded(_)
            | Frame::Quarantine(_)
            | Frame::Origins(_)
            | Frame::OriginQuery(_)
            | Frame::OriginReply(_)
            | Frame::Substitution(_)
            | Frame::OnBehalf(_) => {
                return (out, None);
            }
        };
        if has_pace {
            self.refresh_paces(now);
        }
        self.serve_wait_queue(now, &mut out);
        if let Some(change) = change {
            self.changes.push_front(change);
        }
        (out, self.changes.pop_front())
    }

    /// Drops all leases and starts learning, for use after a pause of the process, when the state is out of date.
    pub fn forget_leases(&mut self, now: Instant) {
        for entry in self.upstreams.iter_mut() {
            entry.state.grants = Grants::default();
            entry.state.orphaned = None;
            entry.state.slow_start.reset(now);
            entry.state.cache = Cache::default();
            entry.state.pace.forget();
        }
        self.order.reset();
        self.learning_until = Some(now + LEARNING_TIME);
        self.counting.borrow_mut().reset(now);
    }

    /// Returns the upstreams that may still process orphaned requests, which are those of hosts that were lost. An
    /// upstream found without any is not polled again: orphaned requests only become fewer.
    pub fn upstreams_to_poll(&self) -> impl Iterator<Item = &Upstream> {
        let unsettled = self.upstreams.iter();
        let unsettled = unsettled.filter(|it| it.state.orphaned.is_none_or(|it| it > 0));
        unsettled.map(|entry| &entry.upstream)
    }

    /// Records how many requests an upstream reports. Requests without a known lease are orphaned: an upstream does not
    /// notice at once that a host has lost power.
    pub fn record_load(
        &mut self,
        upstream: &id::Instance,
        requests: usize,
        now: Instant,
    ) -> Outgoing {
        let mut out = Outgoing::new();
        if let Some(index) = self.upstreams.index_of(upstream) {
            self.upstreams[index].state.record_load(requests, now);
            self.serve_wait_queue(now, &mut out);
        }
        out
    }

    /// Clears the orphaned requests of all upstreams. Called once upstreams have been polled for long enough that none is
    /// left.
    pub fn clear_orphaned(&mut self) {
        for entry in self.upstreams.iter_mut() {
            entry.state.orphaned = None;
        }
    }

    /// Returns whether upstreams need to be polled: the allocator is learning, or orphaned requests are left. An
    /// inactive allocator knows no leases and would count all load as orphaned, so it polls nothing.
    pub fn needs_load_reports(&self, now: Instant) -> bool {
        let mut entries = self.upstreams.iter();
        let has_orphaned = entries.any(|it| it.state.orphaned.is_some_and(|it| it > 0));
        self.is_active(now) && (self.is_learning(now) || has_orphaned)
    }

    /// Records that a host uses this allocator. Starts learning if there was no contact for longer than a lease lasts.
    fn record_contact(&mut self, from: SocketAddr, now: Instant) -> Option<StateChange> {
        let idle = self.last_contact.is_none_or(|at| now > at + LEASE_DURATION);
        self.last_contact = Some(now);
        self.counting.borrow_mut().record_contact(from, now);
        if !idle {
            return None;
        }
        self.learning_until = Some(now + LEARNING_TIME);
        for entry in self.upstreams.iter_mut() {
            entry.state.orphaned = None;
            entry.state.slow_start.reset(now);
            // Another allocator has sent requests in the meantime.
            entry.state.cache = Cache::default();
        }
        Some(StateChange::Learning)
    }

    /// Returns the free slots of the failure domain to report. `None` if they are not reported, or not known because hosts use
    /// another allocator or have not reported their holdings yet.
    pub fn room(&mut self, now: Instant) -> Option<Room> {
        if !self.is_active(now) || self.is_learning(now) {
            return None;
        }
        let reporter = self.reporter.as_mut()?;
        let waiting = self.wait_queue.waiters();
        let placement = &*self.placement;
        Some(reporter.room(now, || {
            room::measure(&self.upstreams, waiting, placement, MAX_HEADROOM, now)
        }))
    }

    /// Returns the customer counts to send to other allocators, if this one is active.
    pub fn counts(&mut self, now: Instant) -> Option<Counts> {
        match self.is_active(now) {
            true => self.counting.borrow_mut().next_counts(now),
            false => None,
        }
    }

    /// Returns the hosts that have sent their counts within `age`.
    pub fn recent_count_senders(&self, age: Duration, now: Instant) -> SmallVec<[SocketAddr; 12]> {
        let counting = self.counting.borrow();
        counting.recent_senders(age, now).collect()
    }

    /// Returns the denials since the last call, see [`Order::take_denials`].
    pub fn take_denials(&mut self) -> Option<Denials> {
        self.order.take_denials()
    }

    fn is_active(&self, now: Instant) -> bool {
        self.last_contact
            .is_some_and(|at| now < at + ACTIVE_TIMEOUT)
    }

    /// Returns whether leases may exist that no host has reported yet.
    fn is_learning(&self, now: Instant) -> bool {
        self.learning_until.is_some_and(|until| now < until)
    }

    /// Drops expired leases.
    fn expire_leases(&mut self, now: Instant) {
        if self.next_expiry.is_some_and(|at| now < at) {
            return;
        }
        let entries = self.upstreams.iter_mut();
        let next = entries
            .filter_map(|it| it.state.grants.remove_expired(now))
            .min();
        // Leases granted from now on expire later.
        self.next_expiry = Some(next.unwrap_or(now + LEASE_DURATION));
    }

    fn release(
        &mut self,
        from: SocketAddr,
        release: &Release,
        now: Instant,
    ) -> Option<StateChange> {
        if let Outcome::Leaving(evidence) = release.outcome {
            return self.on_leaving(from, release, evidence);
        }
        let index = self.upstreams.index_of(&release.upstream)?;
        let may_eject = self.may_eject(index, now);
        let entry = &mut self.upstreams[index];
        let removed = entry.state.grants.remove(from, release.lease);
        if let Some(grant) = &removed {
            let cache = &mut entry.state.cache;
            cache.record_end(&grant.expectation, release.outcome, release.pace);
        }
        let granted_at = removed.as_ref().and_then(|grant| grant.granted_at);
        if let (Some(at), Outcome::Served) = (granted_at, release.outcome) {
            self.slot_time.record(now.saturating_duration_since(at));
        }
        let ejected = entry
            .state
            .health
            .record_outcome(from, release.outcome, may_eject, now);
        if let (Some(grant), Some(sample)) = (removed, release.pace) {
            self.record_sample(index, &grant, sample, false, now);
        }
        ejected.then(|| StateChange::Ejected(release.upstream.clone()))
    }

    /// Returns whether the upstream may be ejected: at most [`MAX_EJECTED_PERCENT`] of its service's upstreams at once,
    /// but always one. If most upstreams fail, the cause is likely elsewhere, and more load on the rest makes it worse.
    fn may_eject(&self, index: usize, now: Instant) -> bool {
        let service = &self.upstreams[index].upstream.service;
        let same = self
            .upstreams
            .iter()
            .filter(|entry| entry.upstream.service == *service);
        let ejected = same
            .clone()
            .filter(|it| it.state.health.is_ejected(now))
            .count();
        ejected == 0 || (ejected + 1) * 100 <= same.count() * MAX_EJECTED_PERCENT
    }

    /// Handles a report that an upstream is leaving. This host's list may be out of date while it can't reach the platform.
    fn on_leaving(
        &mut self,
        from: SocketAddr,
        release: &Release,
        evidence: Evidence,
    ) -> Option<StateChange> {
        let upstream = &release.upstream;
        let index = self.upstreams.index_of(upstream)?;
        self.upstreams[index]
            .state
            .grants
            .remove(from, release.lease);
        let service = &self.upstreams[index].upstream.service;
        let same = self.upstreams.iter();
        let same = same.filter(|it| it.upstream.service == *service);
        let others = same.count() - 1;
        match self.reports.decide(upstream, evidence, others) {
            Decision::Remove => {
                self.upstreams.remove(upstream);
                self.has_removed_upstreams = true;
                Some(StateChange::Left(upstream.clone()))
            }
            Decision::Keep(why) => {
                let is_first = self.reports.is_first_doubt(upstream);
                is_first.then(|| StateChange::ReportRefused {
                    upstream: upstream.clone(),
                    from,
                    why,
                })
            }
        }
    }

    fn apply_holdings(&mut self, from: SocketAddr, holdings: &Holdings, now: Instant) {
        self.upstreams
            .retain_held(from, holdings.next, &holdings.held);
        for held in &holdings.held {
            self.renew(from, held, now);
        }
    }

    fn renew(&mut self, from: SocketAddr, held: &lease::Held, now: Instant) {
        // Nothing is granted at an upstream that is no longer listed, so its leases need no tracking.
        let Some(index) = self.upstreams.index_of(&held.upstream) else {
            return;
        };
        let Entry { upstream, state } = &mut self.upstreams[index];
        let is_known = state.grants.contains(from, held.lease);
        if !is_known && !held.class.is_batch() {
            self.order
                .record_held(&upstream.service, &held.footprint, now);
        }
        if !is_known && let Some(orphaned) = &mut state.orphaned {
            // The request was counted as orphaned until now.
            *orphaned = orphaned.saturating_sub(1);
        }
        state.grants.add(grants::Grant {
            holder: from,
            lease: held.lease,
            class: held.class,
            expires_at: now + LEASE_DURATION,
            granted_at: None,
            footprint: held.footprint.clone(),
            expectation: Expectation::default(),
            unread_tokens: None,
        });
        self.upstreams.add_holder(index, from);
    }
}
