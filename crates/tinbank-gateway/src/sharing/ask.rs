//! Asks allocators for slots.

use std::{rc::Rc, time::Instant};

use smallvec::SmallVec;
use tinbank_allocator::{
    frame::{Ask, Frame, Grant, Queue},
    lease::Outcome,
};
use tinbank_base::id;
use tokio::{sync::oneshot, time};

use super::{Asked, Lease, Sharing, Wanted};
use crate::{measure, node::Node};

/// Part of the time for an answer after which an ask is sent a second time, in percent: datagrams are lost now and then.
/// Source: the answer has come by then as a rule, and the second one has time for its own.
const RESEND_PERCENT: u32 = 40;
/// Grants of leaving upstreams after which a failure domain counts as having none.
const MAX_LEAVING: usize = 4;

/// What an allocator answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Granted,
    Denied,
    Silent,
}

/// What came of asking one allocator.
enum Answered {
    Granted(Lease),
    Denied,
    Silent,
}

impl Sharing {
    /// Asks the own failure domain, then the others, for a slot. An online request may then wait inside the least
    /// loaded upstream, and gets one of this host's own choice where no allocator answers.
    pub async fn lease(self: &Rc<Self>, node: &Node, wanted: &Wanted<'_>) -> Asked {
        let turn = self.next.get();
        let own = &self.own.failure_domain;
        let domains = self.state.borrow().directory.failure_domains(own, turn);
        let queues: &[Queue] = match wanted.queue {
            Queue::No => &[Queue::No],
            queue => &[Queue::No, queue],
        };
        let mut denied = false;
        for queue in queues {
            for domain in &domains {
                match self.ask(node, wanted, domain, *queue).await {
                    Answered::Granted(lease) => return Asked::Granted(lease),
                    Answered::Denied => denied = true,
                    Answered::Silent => {}
                }
            }
        }
        if wanted.class.is_batch() {
            return Asked::Full;
        }
        let is_known = node.view.has_upstream_beside(wanted.service, &[]);
        if denied && is_known && wanted.queue != Queue::Any {
            return Asked::Full;
        }
        match self.choose(node, wanted) {
            Some(lease) => Asked::Granted(lease),
            None => Asked::Nobody,
        }
    }

    /// Asks the allocator of a failure domain until it grants an upstream that does not leave, or none.
    async fn ask(
        self: &Rc<Self>,
        node: &Node,
        wanted: &Wanted<'_>,
        domain: &str,
        queue: Queue,
    ) -> Answered {
        for _ in 0..MAX_LEAVING {
            let lease = match self.ask_once(wanted, domain, queue).await {
                Answered::Granted(lease) => lease,
                other => return other,
            };
            if !node.view.is_leaving(&lease.upstream) {
                return Answered::Granted(lease);
            }
            log::info!(upstream:% = lease.upstream; "grant of a leaving upstream given back");
            lease.end(Outcome::Leaving);
        }
        Answered::Denied
    }

    async fn ask_once(
        self: &Rc<Self>,
        wanted: &Wanted<'_>,
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
        };
        let (answer, mut answered) = oneshot::channel();
        self.state.borrow_mut().asks.insert(lease, answer);
        let frame = Frame::Ask(ask);
        self.send(allocator, &frame);
        let patience = self.patience(allocator);
        let resend_at = now + patience * RESEND_PERCENT / 100;
        let mut answer = time::timeout_at(resend_at.into(), &mut answered).await;
        if answer.is_err() {
            self.send(allocator, &frame);
            answer = time::timeout_at((now + patience).into(), answered).await;
        }
        self.state.borrow_mut().asks.remove(&lease);
        let told = match &answer {
            Ok(Ok(Some(_))) => Answer::Granted,
            Ok(Ok(None)) => Answer::Denied,
            _ => Answer::Silent,
        };
        measure::asked(wanted.class, told, now.elapsed());
        match answer {
            Ok(Ok(Some(grant))) => {
                let lease = self.hold(lease, wanted.class, domain, Some(allocator), grant);
                Answered::Granted(lease)
            }
            Ok(Ok(None)) => Answered::Denied,
            _ => {
                self.missed(allocator, "no answer to an ask");
                Answered::Silent
            }
        }
    }

    /// The upstream at which this host has the fewest requests, where no allocator answers.
    fn choose(self: &Rc<Self>, node: &Node, wanted: &Wanted<'_>) -> Option<Lease> {
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
