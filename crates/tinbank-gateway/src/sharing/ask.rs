//! Slot requests to allocators.

#[cfg(test)]
mod tests;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_allocator::{
    admission::Backlog,
    cause::{self, Cause},
    frame::{Grant, Meter, OverLimit, Queue, SlotRequest, Verdict},
    home::Domains,
    lease::Outcome,
};
use tinbank_base::id;
use tinbank_origin::Origin;
use tinbank_relay::upstream::Upstream;

use super::{Allocation, Grantor, Lease, Sharing, SlotSpec, pending::Pending};
use crate::{measure, node::Node, origin};

/// Number of granted upstreams that turn out to be leaving after which the failure domain counts as full.
const MAX_LEAVING_GRANTS: usize = 4;

/// Time after which a caller may retry if this host reaches no allocator and the customer's share at this host is used up.
/// Short, since the load balancer most likely picks a host that reaches an allocator.
const FALLBACK_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Result of a request to one allocator.
pub(super) enum SlotResult {
    Granted(Lease),
    Denied(Denied),
    /// The customer has used up its allowance and may retry after this time.
    OverLimit(Duration),
    /// No slot became free within the time that the request may wait.
    WaitExpired,
    /// The allocator did not answer.
    Unresponsive,
}

/// A denial of one allocator.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Denied {
    /// Time after which the caller should retry by the backlog of its customer there.
    retry_after: Option<Duration>,
    /// How long the request has waited there before others displaced it.
    waited: Duration,
    /// What a batch item lacks there.
    cause: Cause,
}

impl Denied {
    /// Returns whether items of the usual size would be denied as well.
    pub(super) fn is_usual(&self) -> bool {
        !self.cause.is_lasting()
    }
}

impl Sharing {
    /// Requests a free slot from the host's own failure domain, then from one that reports room or from all that report
    /// nothing. If there is none, a batch item is told what it lacks. An online request waits at the first allocator that expects
    /// to have one in time, or inside an upstream if it may. If no allocator answers, this host chooses an upstream itself.
    pub async fn lease(self: &Rc<Self>, node: &Node, spec: &SlotSpec<'_>) -> Allocation {
        let turn = self.next_lease_id.get();
        let own = &self.own.failure_domain;
        let now = Instant::now();
        let mut domains = self.state.borrow().granted_domains(own, turn, now);
        let regions = &node.settings.regions;
        domains.retain(|domain| {
            !node.view.is_evacuated(domain) && regions.permits(spec.allowed, domain)
        });
        if domains.is_empty() && !spec.allowed.is_all() {
            log::info!(service:% = spec.service, allowed:% = spec.allowed; "request refused, no allowed region has hosts");
            measure::record_region_refusal();
        }
        let queues: &[Queue] = match spec.queue {
            Queue::No => &[Queue::No],
            queue => &[Queue::No, queue],
        };
        let immediate = self.order_by_room(&domains, spec);
        if spec.class.is_batch() {
            return self.lease_for_batch(node, spec, &domains, &immediate).await;
        }
        // A failure domain that is not asked has reported that it would deny.
        let mut denied = immediate.len() < domains.len();
        let mut backlog = Backlog::default();
        let mut waited = Duration::ZERO;
        for (index, queue) in queues.iter().enumerate() {
            let domains = if index == 0 { &immediate } else { &domains };
            for domain in domains {
                let queue = queue.shortened(waited);
                match self.request_slot(node, spec, domain, queue).await {
                    SlotResult::Granted(lease) => return Allocation::Granted(lease),
                    SlotResult::Denied(denial) => {
                        denied = true;
                        waited += denial.waited;
                        denial
                            .retry_after
                            .into_iter()
                            .for_each(|it| backlog.add(it));
                    }
                    SlotResult::OverLimit(after) => return Allocation::OverLimit(after),
                    SlotResult::WaitExpired => return Allocation::Full(backlog),
                    SlotResult::Unresponsive => {}
                }
            }
        }
        // A host that lists only its own failure domain can't rule out upstreams elsewhere.
        let may_exist =
            node.view.is_own_domain_only() || node.view.has_other_upstream(spec.service, &[]);
        if denied && may_exist && spec.queue != Queue::InUpstream {
            return Allocation::Full(backlog);
        }
        if let Some(meter) = spec.meter
            && !self.try_acquire_fallback(meter)
        {
            return Allocation::OverLimit(FALLBACK_RETRY_AFTER);
        }
        match self.choose_upstream(node, spec) {
            Some(lease) => Allocation::Granted(lease),
            None => Allocation::NoUpstream,
        }
    }

    /// Requests a free slot for a batch item from the failure domains in `immediate`. If no upstream there can process it, it requests one
    /// from the others as well, since they report room for items without particular needs.
    async fn lease_for_batch(
        self: &Rc<Self>,
        node: &Node,
        spec: &SlotSpec<'_>,
        domains: &Domains,
        immediate: &Domains,
    ) -> Allocation {
        let mut causes: SmallVec<[Option<Cause>; 4]> = SmallVec::new();
        let others = domains.iter().filter(|it| !immediate.contains(it));
        for domain in immediate.iter().chain(others) {
            if !immediate.contains(domain) && !cause::combine(&causes).is_lasting() {
                causes.push(None);
                continue;
            }
            match self.request_slot(node, spec, domain, Queue::No).await {
                SlotResult::Granted(lease) => return Allocation::Granted(lease),
                SlotResult::Denied(denial) => causes.push(Some(denial.cause)),
                _ => causes.push(None),
            }
        }
        Allocation::Lacking(cause::combine(&causes))
    }

    /// Counts a request that no allocator has counted against this host's share of the customer's limit. Returns whether the
    /// request is admitted.
    fn try_acquire_fallback(&self, meter: &Meter) -> bool {
        let mut state = self.state.borrow_mut();
        let hosts = state.directory.host_count();
        let now = Instant::now();
        let passes = state
            .fallback
            .try_acquire(&meter.customer, meter.limit, hosts, now);
        let limit = meter.limit;
        log::info!(customer:% = meter.customer, rate_milli = limit.rate_milli, hosts, passes; "no allocator answers, request counted against this host's share of the limit");
        passes
    }

    /// Requests a slot from the allocator of a failure domain until it grants an upstream that is not leaving, or denies.
    async fn request_slot(
        self: &Rc<Self>,
        node: &Node,
        spec: &SlotSpec<'_>,
        domain: &str,
        queue: Queue,
    ) -> SlotResult {
        let mut returned: SmallVec<[id::Instance; 4]> = SmallVec::new();
        for _ in 0..MAX_LEAVING_GRANTS {
            let crossing = self.record_crossing(domain, spec);
            let result = self.request_slot_once(spec, domain, queue, &returned).await;
            self.record_result(domain, spec, crossing, &result);
            let lease = match result {
                SlotResult::Granted(lease) => lease,
                other => return other,
            };
            // The failure domain may have been evacuated while the request waited.
            if node.view.is_evacuated(domain) {
                log::info!(upstream:% = lease.upstream, failure_domain:% = domain; "grant in an evacuated failure domain given back");
                return SlotResult::Denied(Denied::default());
            }
            let Some(evidence) = node.view.evidence_of_leaving(&lease.upstream) else {
                node.readiness.record_slot();
                return SlotResult::Granted(lease);
            };
            log::info!(upstream:% = lease.upstream, allocator:% = lease.granted_by(), evidence:?; "grant of a leaving upstream given back");
            measure::record_returned_grant(evidence);
            lease.set_outcome(Outcome::Leaving(evidence));
            // The allocator may have reasons not to believe the report.
            returned.push(lease.upstream.clone());
        }
        SlotResult::Denied(Denied::default())
    }

    /// Sends one slot request to the allocator of a failure domain, and waits there if the allocator expects a free slot in
    /// time. Upstreams in `returned` are leaving and are not requested again.
    async fn request_slot_once(
        self: &Rc<Self>,
        spec: &SlotSpec<'_>,
        domain: &str,
        queue: Queue,
        returned: &[id::Instance],
    ) -> SlotResult {
        let now = Instant::now();
        let Some(grantor) = self.grantor(domain, now) else {
            return SlotResult::Unresponsive;
        };
        let allocator = grantor.host;
        let lease = self.new_lease_id();
        let exclude = spec.exclude.iter().chain(returned);
        let mut exclude: SmallVec<[id::Instance; 4]> = exclude.cloned().collect();
        // Avoided upstreams are excluded from the search for a free slot, but not if the request would be refused otherwise.
        if queue == Queue::No {
            exclude.extend(self.avoided_upstreams(now));
        }
        let request = SlotRequest {
            lease,
            class: spec.class,
            service: spec.service.to_owned(),
            build: spec.build.cloned(),
            exclude,
            queue,
            rank: spec.rank,
            meter: spec.meter.cloned(),
            share: spec.share.cloned(),
            size: spec.size.clone(),
            max_gap_ms: spec.max_gap.map(|it| it.as_millis() as u32),
        };
        let mut pending = Pending::send(self, grantor.clone(), request);
        let mut verdict = pending
            .first_verdict(now, self.response_timeout(allocator))
            .await;
        measure::record_slot_request(spec.class, verdict.as_ref(), now.elapsed());
        let mut waited = Duration::ZERO;
        if verdict == Some(Verdict::Waiting) {
            let until = now + queue.max_wait().unwrap_or_default();
            verdict = pending.wait(until).await;
            waited = now.elapsed();
            if pending.is_queued() {
                return SlotResult::WaitExpired;
            }
        }
        match verdict {
            Some(Verdict::Granted(grant)) => {
                let lease = self.add_holding(lease, spec, domain, Some(grantor), grant);
                SlotResult::Granted(lease)
            }
            Some(Verdict::OverLimit(over)) => {
                let retry_after = Duration::from_millis(over.retry_after_ms.into());
                log_over_limit(spec, &grantor, over);
                SlotResult::OverLimit(retry_after)
            }
            Some(Verdict::Denied(denial)) => {
                let retry_after = denial.retry_after_ms;
                let retry_after = retry_after.map(|ms| Duration::from_millis(ms.into()));
                // Without a time, nothing displaced the request: the service has no upstream there any more.
                let waited = retry_after.map_or(Duration::ZERO, |_| waited);
                SlotResult::Denied(Denied {
                    retry_after,
                    waited,
                    cause: denial.cause,
                })
            }
            Some(Verdict::Waiting) => SlotResult::Denied(Denied::default()),
            None => {
                self.record_timeout(allocator, "no answer to a slot request");
                SlotResult::Unresponsive
            }
        }
    }

    /// Chooses the upstream with the fewest requests of this host, for the case that no allocator answers.
    fn choose_upstream(self: &Rc<Self>, node: &Node, spec: &SlotSpec<'_>) -> Option<Lease> {
        let now = Instant::now();
        let avoided = self.avoided_upstreams(now);
        let mut candidates = node.view.upstreams(spec.service);
        candidates.retain(|it| {
            !spec.exclude.contains(&it.instance)
                && spec.build.is_none_or(|build| *build == it.build)
                && (spec.build.is_some() || origin::may_begin(node, &origin_of(it)))
                && node
                    .settings
                    .regions
                    .permits(spec.allowed, &it.failure_domain)
        });
        let (fallback, preferred): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|it| avoided.contains(&it.instance));
        let candidates = if preferred.is_empty() {
            fallback
        } else {
            preferred
        };
        let start = self.next_lease_id.get() as usize % candidates.len().max(1);
        let state = self.state.borrow();
        let count = |instance: &id::Instance| {
            let holdings = state.holdings.values();
            holdings.filter(|it| it.upstream == *instance).count()
        };
        let order = candidates[start..].iter().chain(&candidates[..start]);
        let least = order.min_by_key(|it| count(&it.instance))?.clone();
        drop(state);
        log::info!(upstream:% = least.instance; "no allocator grants a slot, upstream chosen by the requests of this host");
        let grant = Grant {
            upstream: least.instance,
            address: least.address,
            build: least.build,
            // Other hosts' requests are not known here, so the upstream may be full.
            queued: true,
            expected: None,
        };
        let lease = self.new_lease_id();
        Some(self.add_holding(lease, spec, &least.failure_domain, None, grant))
    }
}

fn origin_of(upstream: &Upstream) -> Origin {
    Origin {
        service: upstream.service.clone(),
        build: upstream.build.clone(),
    }
}

fn log_over_limit(spec: &SlotSpec<'_>, allocator: &Grantor, over: OverLimit) {
    let Some(meter) = spec.meter else {
        return;
    };
    let limit = meter.limit;
    log::info!(
        customer:% = meter.customer,
        rate_milli = limit.rate_milli,
        burst_milli = limit.burst_milli,
        level_milli = over.level_milli,
        returns_in_ms = over.retry_after_ms,
        allocator:%;
        "customer above its limit"
    );
}
