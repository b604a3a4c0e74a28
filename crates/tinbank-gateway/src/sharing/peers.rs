//! Datagrams from other hosts, and heartbeats to them.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_allocator::{
    Allocator,
    allocator::{HEARTBEAT_INTERVAL, Outgoing, Oversized, StateChange},
    frame::{
        self, Frame, Grant, HeartbeatReply, Holdings, MAX_DATAGRAM_BYTES, OnBehalf, Release,
        Verdict,
    },
    lease::{self, Held, Outcome},
    leaving::Doubt,
    order::Denials,
};
use tokio::time;

use super::{Grantor, Sharing, substitution};
use crate::{measure, node::Node};

impl Sharing {
    pub(super) fn receive(&self, from: SocketAddr, frame: Frame) {
        let now = Instant::now();
        if from != self.own.address {
            let mut state = self.state.borrow_mut();
            state.awaiting_reply.remove(&from);
            let is_back = state.directory.record_datagram(from);
            drop(state);
            self.record_domain_contact(from, now);
            if is_back {
                log::info!(peer:% = from; "host responds again");
                // The host may be an allocator again and has outdated holdings.
                self.send_holdings(now);
            }
        }
        match frame {
            Frame::OnBehalf(OnBehalf {
                failure_domain,
                frame,
            }) => {
                let grantor = Grantor {
                    host: from,
                    acting_for: Some(failure_domain),
                };
                self.handle(&grantor, *frame, now);
            }
            frame => self.handle(&Grantor::from(from), frame, now),
        }
    }

    /// Handles a frame from an allocator, or one to the allocator of the failure domain that the sender names.
    fn handle(&self, sender: &Grantor, frame: Frame, now: Instant) {
        let from = sender.host;
        match frame {
            Frame::SlotResponse(answer) => self.on_answer(sender, answer),
            Frame::Ping => self.send(from, &Frame::HeartbeatReply(self.alive(now))),
            Frame::Reclaim(lease) => self.reclaim(lease),
            Frame::Denial(denial) => self.on_denial(sender, denial, now),
            Frame::Room(report) => self.record_room(report, now),
            Frame::Overloaded(notice) => self.record_overloaded(from, notice, now),
            Frame::Substitution(substitution) => self.on_substitution(from, &substitution, now),
            Frame::HeartbeatReply(alive) => {
                let mut state = self.state.borrow_mut();
                state.directory.record_heartbeat_reply(from, now);
                if alive.may_withdraw {
                    self.record_permission(now);
                }
                match alive.reaches_store {
                    true => state.store_reachable_at.insert(from, now),
                    false => state.store_reachable_at.remove(&from),
                };
                drop(state);
                if alive.reaches_store {
                    self.hand_back(from, now);
                }
                if let Some(room) = alive.room {
                    self.record_grantor_room(sender, room, now);
                }
            }
            frame => self.handle_at_allocator(sender, frame, now),
        }
    }

    /// Handles a frame at the allocator of the own failure domain, or at the one that acts for another.
    fn handle_at_allocator(&self, sender: &Grantor, frame: Frame, now: Instant) {
        let from = sender.host;
        let domain = sender.acting_for.as_deref();
        let is_heartbeat = matches!(frame, Frame::Holdings(_));
        let mut state = self.state.borrow_mut();
        let reply = HeartbeatReply {
            may_withdraw: state.withdrawals.may_withdraw(from, now),
            ..self.alive(now)
        };
        let Some(allocator) = state.allocator_of(domain) else {
            drop(state);
            self.deny_on_behalf(sender, frame);
            return;
        };
        allocator.set_heartbeat_reply(reply);
        let (mut out, change) = allocator.receive(from, frame, now);
        let summary = allocator.take_summary();
        if self.shares_room {
            state.add_rooms(&mut out, &self.own.failure_domain, domain, now);
        }
        if let Some(StateChange::Slowed(_) | StateChange::Recovered(_)) = change {
            measure::set_slow_upstreams(state.slow_upstreams(now));
        }
        drop(state);
        measure::record_placements(summary);
        if change == Some(StateChange::Learning) {
            self.learning.notify_one();
        }
        log_change(change, from);
        self.send_from(domain, out);
        if is_heartbeat && domain.is_none() {
            self.reply_substitution(from);
        }
    }

    pub(super) fn send_all(&self, out: Outgoing) {
        for (to, frame) in out {
            self.send(to, &frame);
        }
    }

    pub(super) fn on_answer(&self, from: &Grantor, answer: frame::SlotResponse) {
        let frame::SlotResponse { lease, verdict } = answer;
        let state = self.state.borrow();
        let unclaimed = match state.pending.get(&lease) {
            Some(pending) => pending.send(verdict).err().map(|error| error.0),
            None => Some(verdict),
        };
        drop(state);
        match unclaimed {
            // The caller has left, so the slot is released at once.
            Some(Verdict::Granted(grant)) => self.release_unused(from, lease, grant),
            Some(Verdict::Waiting) => {
                self.send(from.host, &from.address(Frame::Withdraw(lease)));
            }
            Some(Verdict::Denied(_) | Verdict::OverLimit(_)) | None => {}
        }
    }

    /// Releases a slot that was not used, unless the grant is a duplicate of one that is in use.
    pub(super) fn release_unused(&self, allocator: &Grantor, lease: lease::Id, grant: Grant) {
        if self.state.borrow().holdings.contains_key(&lease) {
            return;
        }
        let release = Release {
            lease,
            upstream: grant.upstream,
            outcome: Outcome::Inconclusive,
            pace: None,
        };
        self.send(allocator.host, &allocator.address(Frame::Release(release)));
    }

    fn reclaim(&self, lease: lease::Id) {
        if let Some(holding) = self.state.borrow().holdings.get(&lease) {
            holding.reclaimed.notify_one();
        }
    }

    /// Records that a host did not answer in time.
    pub(super) fn record_timeout(&self, allocator: SocketAddr, why: &'static str) {
        let now = Instant::now();
        let was_replaced = self
            .state
            .borrow_mut()
            .directory
            .record_timeout(allocator, now);
        if was_replaced {
            log::warn!(peer:% = allocator, why; "host unresponsive, skipped as allocator");
            self.send_holdings(now);
        }
    }

    /// Sends each allocator the leases that this host holds in its failure domain.
    pub(super) fn send_holdings(&self, now: Instant) {
        let next = self.next_lease_id.get();
        let mut messages: SmallVec<[(Grantor, Holdings); 4]> = SmallVec::new();
        let state = self.state.borrow();
        let own = &self.own.failure_domain;
        for domain in state.granted_domains(own, 0, now) {
            let Some(allocator) = self.grantor(&domain, now) else {
                continue;
            };
            let held = state
                .holdings
                .iter()
                .filter(|(_, it)| it.failure_domain == domain);
            let held = held.map(|(lease, it)| Held {
                lease: *lease,
                upstream: it.upstream.clone(),
                class: it.class,
                footprint: it.footprint.clone(),
            });
            let held = held.collect();
            messages.push((allocator, Holdings { next, held }));
        }
        drop(state);
        for (to, holdings) in messages {
            self.expect_reply(to.host, now);
            self.send(to.host, &to.address(Frame::Holdings(holdings)));
        }
    }

    /// Sends a ping to hosts that get no holdings from this one: the other delegates of its failure domain, and skipped hosts
    /// that are due for a probe.
    fn ping(&self, now: Instant) {
        let state = self.state.borrow();
        let own = &self.own.failure_domain;
        let allocator = state.directory.allocator(own, now);
        let delegates = state.directory.delegates(own, now).into_iter();
        let delegates = delegates.map(|it| it.address);
        let mut targets: SmallVec<[SocketAddr; 8]> =
            delegates.filter(|it| Some(*it) != allocator).collect();
        targets.extend(state.directory.hosts_to_probe(now));
        drop(state);
        targets.retain(|it| *it != self.own.address);
        for to in targets {
            self.expect_reply(to, now);
            self.send(to, &Frame::Ping);
        }
    }

    /// Reports which customers this host's allocator has denied slots since the last heartbeat.
    fn report_denials(&self) {
        let mut state = self.state.borrow_mut();
        let denials = state.allocators_mut().filter_map(Allocator::take_denials);
        let denials: SmallVec<[Denials; 2]> = denials.collect();
        drop(state);
        denials.iter().for_each(log_denials);
    }

    /// Expects a reply from a host before the next heartbeat.
    fn expect_reply(&self, from: SocketAddr, now: Instant) {
        if from == self.own.address {
            return;
        }
        let mut state = self.state.borrow_mut();
        state.awaiting_reply.insert(from);
        state.directory.record_heartbeat_sent(from, now);
    }
}

fn log_denials(denials: &Denials) {
    log::info!(
        denied = denials.total,
        customers = denials.customers,
        busiest:% = denials.busiest,
        of_busiest = denials.of_busiest;
        "customers denied slots"
    );
    measure::record_customer_denials(denials);
}

fn log_change(change: Option<StateChange>, from: SocketAddr) {
    match change {
        Some(StateChange::Ejected(upstream)) => {
            log::warn!(upstream:%; "upstream ejected, two hosts reported failures");
        }
        Some(StateChange::Left(upstream)) => {
            measure::record_leaving_report("removed");
            log::info!(upstream:%, host:% = from; "upstream leaves, according to a newer list of another host");
        }
        Some(StateChange::ReportRefused {
            upstream,
            from,
            why,
        }) => {
            let decision = match why {
                Doubt::NotNewer { .. } => "not_newer",
                Doubt::LastOfService => "last_of_service",
            };
            measure::record_leaving_report(decision);
            log::warn!(upstream:%, host:% = from, why:?; "report that an upstream leaves not believed");
        }
        Some(StateChange::Slowed(upstream)) => {
            log::warn!(upstream:%; "upstream slow compared with the others of its service, gets fewer requests");
        }
        Some(StateChange::Recovered(upstream)) => {
            log::info!(upstream:%; "upstream no longer slow");
        }
        Some(StateChange::Learning) => {
            log::info!(
                "allocator collects the leases of other hosts before it grants slots to batch"
            );
        }
        Some(StateChange::Oversized(Oversized {
            service,
            prompt_tokens,
        })) => {
            log::warn!(service:%, prompt_tokens; "request denied, no upstream has the memory for its prompt");
        }
        None => {}
    }
}

/// Receives datagrams, forever. Those about crashing requests and about the origins of streams are passed to `on_other`.
pub(crate) async fn receive(sharing: Rc<Sharing>, on_other: impl Fn(SocketAddr, Frame)) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match sharing.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:%; "datagram not received");
                time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        match Frame::decode(&buffer[..length]) {
            Ok(
                frame @ (Frame::Quarantine(_)
                | Frame::Origins(_)
                | Frame::OriginQuery(_)
                | Frame::OriginReply(_)),
            ) => on_other(from, frame),
            Ok(frame) => sharing.receive(from, frame),
            Err(error) => log::warn!(peer:% = from, error:%; "datagram ignored"),
        }
    }
}

/// Sends holdings and pings at each heartbeat, forever, and skips hosts that did not answer the previous one.
pub(crate) async fn heartbeat(node: Rc<Node>) {
    let sharing = &node.sharing;
    let mut ticks = time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let unresponsive = std::mem::take(&mut sharing.state.borrow_mut().awaiting_reply);
        for peer in unresponsive {
            sharing.record_timeout(peer, "no answer to a heartbeat");
        }
        let now = Instant::now();
        substitution::update(&node, now);
        sharing.send_holdings(now);
        sharing.ping(now);
        sharing.report_denials();
        node.feed.update_role(sharing, now);
    }
}
