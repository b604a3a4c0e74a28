//! Asks allocators for slots.

#[cfg(test)]
mod tests;

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_allocator::{
    frame::{Ask, Grant, Meter, OverLimit, Queue, Verdict},
    lease::Outcome,
};
use tinbank_base::id;

use super::{Allocation, Lease, Sharing, SlotSpec, pending::Pending};
use crate::{measure, node::Node};

/// Grants of leaving upstreams after which a failure domain counts as having none.
const MAX_LEAVING: usize = 4;

/// When a caller may come again whose customer's part at a host without an allocator is used up. Source: the balancer passes
/// it to another host, which most likely has one.
const OWN_PART_RETRY: Duration = Duration::from_millis(200);

/// What came of asking one allocator.
enum Answered {
    Granted(Lease),
    Denied,
    /// Its customer has used up its allowance, and may come again after this time.
    OverLimit(Duration),
    /// The request has waited for a slot for as long as it may.
    TimeUp,
    Silent,
}

impl Sharing {
    /// Asks the own failure domain, then the others, for a slot that is free. If there is none, an online request waits at
    /// the first allocator that expects to have one in time, or inside an upstream if it may. Where no allocator answers, it
    /// gets an upstream of this host's own choice.
    pub async fn lease(self: &Rc<Self>, node: &Node, wanted: &SlotSpec<'_>) -> Allocation {
        let turn = self.next.get();
        let own = &self.own.failure_domain;
        let mut domains = self.state.borrow().directory.failure_domains(own, turn);
        domains.retain(|domain| !node.view.is_evacuated(domain));
        let queues: &[Queue] = match wanted.queue {
            Queue::No => &[Queue::No],
            queue => &[Queue::No, queue],
        };
        let mut denied = false;
        for queue in queues {
            for domain in &domains {
                match self.ask(node, wanted, domain, *queue).await {
                    Answered::Granted(lease) => return Allocation::Granted(lease),
                    Answered::Denied => denied = true,
                    Answered::OverLimit(returns_in) => return Allocation::OverLimit(returns_in),
                    Answered::TimeUp => return Allocation::Full,
                    Answered::Silent => {}
                }
            }
        }
        if wanted.class.is_batch() {
            return Allocation::Full;
        }
        // Those of other failure domains are known to their allocators only.
        let is_known = node.view.is_narrow() || node.view.has_upstream_beside(wanted.service, &[]);
        if denied && is_known && wanted.queue != Queue::Any {
            return Allocation::Full;
        }
        if let Some(meter) = wanted.meter
            && !self.take_own_part(meter)
        {
            return Allocation::OverLimit(OWN_PART_RETRY);
        }
        match self.choose(node, wanted) {
            Some(lease) => Allocation::Granted(lease),
            None => Allocation::NoUpstream,
        }
    }

    /// True if a request may pass though no allocator has counted it.
    fn take_own_part(&self, meter: &Meter) -> bool {
        let mut state = self.state.borrow_mut();
        let hosts = state.directory.hosts();
        let now = Instant::now();
        let passes = state.part.take(&meter.customer, meter.limit, hosts, now);
        let limit = meter.limit;
        log::info!(customer:% = meter.customer, rate_milli = limit.rate_milli, hosts, passes; "no allocator counts, this host's own part");
        passes
    }

    /// Asks the allocator of a failure domain until it grants an upstream that does not leave, or none.
    async fn ask(
        self: &Rc<Self>,
        node: &Node,
        wanted: &SlotSpec<'_>,
        domain: &str,
        queue: Queue,
    ) -> Answered {
        for _ in 0..MAX_LEAVING {
            let lease = match self.ask_once(wanted, domain, queue).await {
                Answered::Granted(lease) => lease,
                other => return other,
            };
            // The order may have come while the request waited.
            if node.view.is_evacuated(domain) {
                log::info!(upstream:% = lease.upstream, failure_domain:% = domain; "grant in an evacuated failure domain given back");
                return Answered::Denied;
            }
            if !node.view.is_leaving(&lease.upstream) {
                return Answered::Granted(lease);
            }
            log::info!(upstream:% = lease.upstream; "grant of a leaving upstream given back");
            lease.set_outcome(Outcome::Leaving);
        }
        Answered::Denied
    }

    /// Asks the allocator of a failure domain once, and waits there if it says that a slot is likely to come free in time.
    async fn ask_once(
        self: &Rc<Self>,
        wanted: &SlotSpec<'_>,
        domain: &str,
        queue: Queue,
    ) -> Answered {
        let now = Instant::now();
        let Some(allocator) = self.state.borrow().directory.allocator(domain, now) else {
            return Answered::Silent;
        };
        let lease = self.next_lease();
        let mut exclude: SmallVec<[id::Instance; 4]> = wanted.exclude.iter().cloned().collect();
        // A request that would be turned away otherwise is better off at an upstream that is avoided.
        if queue == Queue::No {
            exclude.extend(self.avoided(now));
        }
        let ask = Ask {
            lease,
            class: wanted.class,
            service: wanted.service.to_owned(),
            exclude,
            queue,
            rank: wanted.rank,
            meter: wanted.meter.cloned(),
        };
        let mut pending = Pending::send(self, allocator, ask);
        let mut verdict = pending.first(now, self.patience(allocator)).await;
        measure::asked(wanted.class, verdict.as_ref(), now.elapsed());
        if verdict == Some(Verdict::Waiting) {
            let until = now + queue.patience().unwrap_or_default();
            verdict = pending.wait(until).await;
            if pending.is_waiting() {
                return Answered::TimeUp;
            }
        }
        match verdict {
            Some(Verdict::Granted(grant)) => {
                let lease = self.hold(lease, wanted.class, domain, Some(allocator), grant);
                Answered::Granted(lease)
            }
            Some(Verdict::OverLimit(over)) => {
                let returns_in = Duration::from_millis(over.returns_in_ms.into());
                log_over_limit(wanted, allocator, over);
                Answered::OverLimit(returns_in)
            }
            Some(Verdict::Denied | Verdict::Waiting) => Answered::Denied,
            None => {
                self.missed(allocator, "no answer to an ask");
                Answered::Silent
            }
        }
    }

    /// The upstream at which this host has the fewest requests, where no allocator answers.
    fn choose(self: &Rc<Self>, node: &Node, wanted: &SlotSpec<'_>) -> Option<Lease> {
        let now = Instant::now();
        let avoided = self.avoided(now);
        let mut fit = node.view.upstreams(wanted.service);
        fit.retain(|it| !wanted.exclude.contains(&it.instance));
        let (shunned, good): (Vec<_>, Vec<_>) = fit
            .into_iter()
            .partition(|it| avoided.contains(&it.instance));
        let fit = if good.is_empty() { shunned } else { good };
        let start = self.next.get() as usize % fit.len().max(1);
        let state = self.state.borrow();
        let count = |instance: &id::Instance| {
            let held = state.held.values();
            held.filter(|held| held.upstream == *instance).count()
        };
        let order = fit[start..].iter().chain(&fit[..start]);
        let least = order.min_by_key(|it| count(&it.instance))?.clone();
        drop(state);
        log::info!(upstream:% = least.instance; "no allocator grants a slot, chosen by own count");
        let grant = Grant {
            upstream: least.instance,
            address: least.address,
            // Nobody has counted all its requests, so it may be full.
            queued: true,
        };
        let lease = self.next_lease();
        Some(self.hold(lease, wanted.class, &least.failure_domain, None, grant))
    }
}

fn log_over_limit(wanted: &SlotSpec<'_>, allocator: SocketAddr, over: OverLimit) {
    let Some(meter) = wanted.meter else {
        return;
    };
    let limit = meter.limit;
    log::info!(
        customer:% = meter.customer,
        rate_milli = limit.rate_milli,
        burst_milli = limit.burst_milli,
        level_milli = over.level_milli,
        returns_in_ms = over.returns_in_ms,
        allocator:%;
        "customer above its limit"
    );
}
