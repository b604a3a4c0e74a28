//! Datagrams of other hosts, and heartbeats to them.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_allocator::{
    allocator::{HEARTBEAT_INTERVAL, Outgoing, StateChange},
    frame::{self, Frame, Grant, Holdings, MAX_DATAGRAM_BYTES, Release, Verdict},
    lease::{self, Held, Outcome},
};
use tinbank_quarantine::Update;
use tokio::time;

use super::Sharing;
use crate::node::Node;

impl Sharing {
    pub(super) fn receive(&self, from: SocketAddr, frame: Frame) {
        let now = Instant::now();
        if from != self.own.address {
            let mut state = self.state.borrow_mut();
            state.unheard.remove(&from);
            let is_back = state.directory.record_datagram(from);
            drop(state);
            if is_back {
                log::info!(peer:% = from; "host heard again");
                // It may be an allocator again, and has not been told for a while.
                self.tell_holdings(now);
            }
        }
        match frame {
            Frame::SlotResponse(answer) => self.answered(from, answer),
            Frame::Ping => self.send(from, &Frame::HeartbeatReply(self.alive(now))),
            Frame::Reclaim(lease) => self.reclaim(lease),
            Frame::HeartbeatReply(alive) => {
                let mut state = self.state.borrow_mut();
                state.directory.record_heartbeat_reply(from, now);
                match alive.reaches_store {
                    true => state.with_store.insert(from, now),
                    false => state.with_store.remove(&from),
                };
            }
            asked => {
                let mut state = self.state.borrow_mut();
                state.allocator.set_heartbeat_reply(self.alive(now));
                let (out, change) = state.allocator.receive(from, asked, now);
                drop(state);
                if change == Some(StateChange::Learning) {
                    self.learning.notify_one();
                }
                note(change);
                self.send_all(out);
            }
        }
    }

    pub(super) fn send_all(&self, out: Outgoing) {
        for (to, frame) in out {
            self.send(to, &frame);
        }
    }

    fn answered(&self, from: SocketAddr, answer: frame::SlotResponse) {
        let frame::SlotResponse { lease, verdict } = answer;
        let state = self.state.borrow();
        let unheard = match state.asks.get(&lease) {
            Some(pending) => pending.send(verdict).err().map(|error| error.0),
            None => Some(verdict),
        };
        drop(state);
        match unheard {
            // Nobody waits any more, so the slot goes back at once.
            Some(Verdict::Granted(grant)) => self.give_back(from, lease, grant),
            Some(Verdict::Waiting) => self.send(from, &Frame::Withdraw(lease)),
            Some(Verdict::Denied | Verdict::OverLimit(_)) | None => {}
        }
    }

    /// Gives a slot back that was not used. One that is in use was granted by an answer that came twice.
    pub(super) fn give_back(&self, allocator: SocketAddr, lease: lease::Id, grant: Grant) {
        if self.state.borrow().held.contains_key(&lease) {
            return;
        }
        let release = Release {
            lease,
            upstream: grant.upstream,
            outcome: Outcome::Inconclusive,
        };
        self.send(allocator, &Frame::Release(release));
    }

    fn reclaim(&self, lease: lease::Id) {
        if let Some(holding) = self.state.borrow().held.get(&lease) {
            holding.reclaimed.notify_one();
        }
    }

    pub(super) fn missed(&self, allocator: SocketAddr, why: &'static str) {
        let now = Instant::now();
        let moved = self.state.borrow_mut().directory.record_timeout(allocator, now);
        if moved {
            log::warn!(peer:% = allocator, why; "host silent, passed over as allocator");
            self.tell_holdings(now);
        }
    }

    /// Tells each allocator what this host holds in its failure domain.
    pub(super) fn tell_holdings(&self, now: Instant) {
        let next = self.next.get();
        let mut letters: SmallVec<[(SocketAddr, Holdings); 4]> = SmallVec::new();
        let state = self.state.borrow();
        let own = &self.own.failure_domain;
        for domain in state.directory.failure_domains(own, 0) {
            let Some(allocator) = state.directory.allocator(&domain, now) else {
                continue;
            };
            let held = state
                .held
                .iter()
                .filter(|(_, it)| it.failure_domain == domain);
            let held = held.map(|(lease, it)| Held {
                lease: *lease,
                upstream: it.upstream.clone(),
                class: it.class,
            });
            let held = held.collect();
            letters.push((allocator, Holdings { next, held }));
        }
        drop(state);
        for (to, holdings) in letters {
            self.expect(to, now);
            self.send(to, &Frame::Holdings(holdings));
        }
    }

    /// Asks for a heartbeat of those that this host has nothing to tell: the other delegates of its failure domain, and
    /// hosts that were passed over and whose time is up.
    fn ping(&self, now: Instant) {
        let state = self.state.borrow();
        let own = &self.own.failure_domain;
        let allocator = state.directory.allocator(own, now);
        let delegates = state.directory.delegates(own, now).into_iter();
        let delegates = delegates.map(|it| it.address);
        let mut asked: SmallVec<[SocketAddr; 8]> =
            delegates.filter(|it| Some(*it) != allocator).collect();
        asked.extend(state.directory.hosts_to_probe(now));
        drop(state);
        asked.retain(|it| *it != self.own.address);
        for to in asked {
            self.expect(to, now);
            self.send(to, &Frame::Ping);
        }
    }

    /// An answer to a heartbeat has to come before the next one.
    fn expect(&self, from: SocketAddr, now: Instant) {
        if from == self.own.address {
            return;
        }
        let mut state = self.state.borrow_mut();
        state.unheard.insert(from);
        state.directory.record_heartbeat_sent(from, now);
    }
}

fn note(change: Option<StateChange>) {
    match change {
        Some(StateChange::Ejected(upstream)) => {
            log::warn!(upstream:%; "upstream ejected, two hosts had trouble with it");
        }
        Some(StateChange::Left(upstream)) => {
            log::info!(upstream:%; "upstream leaves, by a newer list of another host");
        }
        Some(StateChange::Learning) => {
            log::info!("allocator learns the leases of others before it grants to batch");
        }
        None => {}
    }
}

/// Receives datagrams for as long as the process runs.
/// What they tell of requests that end upstreams is passed to `news`.
pub(crate) async fn receive(sharing: Rc<Sharing>, news: impl Fn(SocketAddr, Update)) {
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
            Ok(Frame::Quarantine(told)) => news(from, told),
            Ok(frame) => sharing.receive(from, frame),
            Err(error) => log::warn!(peer:% = from, error:%; "datagram ignored"),
        }
    }
}

/// Tells holdings at each heartbeat, and passes over hosts that did not answer the one before.
pub(crate) async fn heartbeat(node: Rc<Node>) {
    let sharing = &node.sharing;
    let mut ticks = time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let unheard = std::mem::take(&mut sharing.state.borrow_mut().unheard);
        for peer in unheard {
            sharing.missed(peer, "no answer to a heartbeat");
        }
        let now = Instant::now();
        sharing.tell_holdings(now);
        sharing.ping(now);
        node.feed.update_role(sharing, now);
    }
}
