//! The allocator: decides which upstream a request may start at.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{
    entry::Entry,
    frame::{Alive, Answer, Ask, Frame, Grant, Holdings, Queue, Release, Verdict},
    grants::{self, Grants},
    lease::{self, Class, Due, Outcome},
    pace::Pace,
    waiting::{Waiter, Waiting},
};

/// How often a host tells its holdings. It is also the heartbeat between hosts.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// A lease that its holder has not named for this long is over: three heartbeats and a half.
const LEASE_TIME: Duration = Duration::from_millis(3_500);
/// For how long an allocator that knew of nobody grants nothing to batch: until every host has told its holdings.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// Slots of an upstream that stay free of batch, so that an online request seldom has to reclaim one.
const HEADROOM: usize = 1;

/// Part of a service's upstreams in a failure domain that may be ejected at once, in percent. Source: up to a third of the
/// upstreams may be lost at once.
const MOST_EJECTED_PERCENT: usize = 50;

/// An upstream that may be dealt out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name.
    pub instance: id::Instance,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service it runs.
    pub service: id::Service,
    /// How many requests it works on at once.
    pub slots: usize,
}

/// A datagram to send.
pub type Outgoing = SmallVec<[(SocketAddr, Frame); 2]>;

/// What the allocator believes after a datagram, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Two hosts had trouble with an upstream; it gets no request for a while.
    Ejected(id::Instance),
    /// A host has heard that the upstream leaves.
    Left(id::Instance),
    /// The allocator had heard of nobody for a while, and learns before it grants to batch.
    Learning,
}

/// The state of an allocator. It serves whoever asks, so two at once are harmless: each host asks one.
#[derive(Debug)]
pub struct Allocator {
    upstreams: Vec<Entry>,
    heard_at: Option<Instant>,
    learning_until: Option<Instant>,
    turn: u64,
    /// What it says of its host.
    alive: Alive,
    /// How long online requests take.
    pace: Pace,
    waiting: Waiting,
}

impl Allocator {
    /// An allocator that knows of nothing. `seed` makes the order among equals differ between hosts.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            heard_at: None,
            learning_until: None,
            turn: seed,
            alive: Alive::default(),
            pace: Pace::default(),
            waiting: Waiting::default(),
        }
    }

    /// Takes in the upstreams of the failure domain that take requests.
    pub fn list(&mut self, upstreams: Vec<Upstream>) {
        let mut before: HashMap<id::Instance, Entry> = self
            .upstreams
            .drain(..)
            .map(|entry| (entry.upstream.instance.clone(), entry))
            .collect();
        let entries = upstreams.into_iter().map(|upstream| {
            let known = before.remove(&upstream.instance);
            Entry {
                account: known.map(|it| it.account).unwrap_or_default(),
                upstream,
            }
        });
        self.upstreams = entries.collect();
    }

    /// What the allocator is to say of its host in its heartbeats.
    pub fn announce(&mut self, alive: Alive) {
        self.alive = alive;
    }

    /// Takes in a datagram.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        frame: Frame,
        now: Instant,
    ) -> (Outgoing, Option<Change>) {
        let mut out = Outgoing::new();
        let change = match frame {
            Frame::Ask(ask) => {
                let change = self.wake(now);
                self.ask(from, ask, now, &mut out);
                change
            }
            Frame::Release(release) => self.release(from, &release, now),
            Frame::Withdraw(lease) => {
                self.waiting.remove(from, lease);
                None
            }
            Frame::Holdings(holdings) => {
                let change = self.wake(now);
                self.holdings(from, &holdings, now);
                out.push((from, Frame::Alive(self.alive)));
                change
            }
            Frame::Answer(_) | Frame::Reclaim(_) | Frame::Alive(_) => return (out, None),
        };
        self.serve_waiting(now, &mut out);
        (out, change)
    }

    /// Forgets all leases, as after a pause of the process: what it believes is as old as the pause.
    pub fn forget(&mut self, now: Instant) {
        for entry in &mut self.upstreams {
            entry.account.grants = Grants::default();
            entry.account.foreign = None;
        }
        self.learning_until = Some(now + LEARNING_TIME);
    }

    /// The upstreams that are dealt out.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().map(|entry| &entry.upstream)
    }

    /// Takes in how many requests an upstream says that it has. Those that no known lease is for are of hosts that were
    /// lost: the upstream does not notice at once when a host loses power. They only become fewer.
    pub fn reported(&mut self, upstream: &id::Instance, requests: usize, now: Instant) -> Outgoing {
        let mut out = Outgoing::new();
        if let Some(index) = self.find(upstream) {
            self.upstreams[index].account.reported(requests, now);
            self.serve_waiting(now, &mut out);
        }
        out
    }

    /// True while the allocator learns, or upstreams work on requests of hosts that were lost.
    pub fn needs_reports(&self, now: Instant) -> bool {
        let mut entries = self.upstreams.iter();
        self.is_learning(now) || entries.any(|it| it.account.foreign.is_some_and(|it| it > 0))
    }

    /// Starts learning if nobody has told anything for longer than a lease holds.
    fn wake(&mut self, now: Instant) -> Option<Change> {
        let idle = self.heard_at.is_none_or(|at| now > at + LEASE_TIME);
        self.heard_at = Some(now);
        if !idle {
            return None;
        }
        self.learning_until = Some(now + LEARNING_TIME);
        for entry in &mut self.upstreams {
            entry.account.foreign = None;
        }
        Some(Change::Learning)
    }

    /// True while the allocator may not know who uses which slots.
    fn is_learning(&self, now: Instant) -> bool {
        self.learning_until.is_some_and(|until| now < until)
    }

    fn ask(&mut self, from: SocketAddr, ask: Ask, now: Instant, out: &mut Outgoing) {
        for entry in &mut self.upstreams {
            entry.account.grants.expire(now);
        }
        self.waiting.expire(now);
        // An ask that comes again has lost its answer, and gets the same one.
        let verdict = if let Some(index) = self.granted(from, ask.lease) {
            Verdict::Granted(self.grant(index, from, &ask, now))
        } else if self.waiting.has(from, ask.lease) {
            Verdict::Waiting
        } else if let Some(index) = self.choose(&ask, now, out) {
            Verdict::Granted(self.grant(index, from, &ask, now))
        } else {
            self.park(from, &ask, now)
        };
        let lease = ask.lease;
        out.push((from, Frame::Answer(Answer { lease, verdict })));
    }

    /// The upstream at which a request may start now.
    fn choose(&mut self, ask: &Ask, now: Instant, out: &mut Outgoing) -> Option<usize> {
        match ask.class {
            Class::Online => self.online(ask, now, out),
            Class::Batch(due) => self.batch(ask, due, now, out),
        }
    }

    /// Enters a lease, or renews it.
    fn grant(&mut self, index: usize, from: SocketAddr, ask: &Ask, now: Instant) -> Grant {
        let learning = self.is_learning(now);
        let entry = &mut self.upstreams[index];
        let is_known = entry.account.grants.has(from, ask.lease);
        let others = entry.load() - usize::from(is_known);
        let queued = learning || others >= entry.upstream.slots;
        entry.account.grants.add(grants::Grant {
            holder: from,
            lease: ask.lease,
            class: ask.class,
            until: now + LEASE_TIME,
            granted_at: (!ask.class.is_batch()).then_some(now),
        });
        Grant {
            upstream: entry.upstream.instance.clone(),
            address: entry.upstream.address,
            queued,
        }
    }

    /// Lets a request wait if a slot is likely to come free for it in time; else it is told at once.
    fn park(&mut self, from: SocketAddr, ask: &Ask, now: Instant) -> Verdict {
        let Some(patience) = ask.queue.patience() else {
            return Verdict::Denied;
        };
        let slots: usize = self
            .upstreams
            .iter()
            .filter(|entry| entry.takes(ask, now))
            .map(|entry| entry.upstream.slots)
            .sum();
        if slots == 0 {
            return Verdict::Denied;
        }
        let ahead = self.waiting.ahead_of(ask, patience, now);
        let wait = self.pace.duration() * (ahead + 1) as u32 / slots as u32;
        if wait > patience {
            return Verdict::Denied;
        }
        self.waiting.add(from, ask.clone(), patience, now);
        Verdict::Waiting
    }

    /// Gives the slots that are free to those that wait.
    fn serve_waiting(&mut self, now: Instant, out: &mut Outgoing) {
        let mut entries = self.upstreams.iter();
        let has_room = entries.any(|it| it.load() < it.upstream.slots || it.runs_batch());
        if self.waiting.is_empty() || !has_room {
            return;
        }
        self.waiting.expire(now);
        let mut left: Vec<Waiter> = Vec::new();
        for waiter in self.waiting.take() {
            let Some(index) = self.choose(&waiter.ask, now, out) else {
                left.push(waiter);
                continue;
            };
            let grant = self.grant(index, waiter.from, &waiter.ask, now);
            let answer = Answer {
                lease: waiter.ask.lease,
                verdict: Verdict::Granted(grant),
            };
            out.push((waiter.from, Frame::Answer(answer)));
        }
        self.waiting.put_back(left);
    }

    /// The upstream that a lease in force is for.
    fn granted(&self, holder: SocketAddr, lease: lease::Id) -> Option<usize> {
        let mut entries = self.upstreams.iter();
        entries.position(|entry| entry.account.grants.has(holder, lease))
    }

    /// A free slot, else one reclaimed from batch, else, if it may wait inside it, the least loaded upstream.
    fn online(&mut self, ask: &Ask, now: Instant, out: &mut Outgoing) -> Option<usize> {
        let least = self.least(ask, now)?;
        let entry = &self.upstreams[least];
        if entry.load() < entry.upstream.slots {
            return Some(least);
        }
        if let Some((index, _)) = self.reclaimable(ask, now) {
            self.reclaim(index, out);
            return Some(index);
        }
        (ask.queue == Queue::Any).then_some(least)
    }

    /// A slot if the headroom for online requests stays free beside it. An item that can still be in time takes the
    /// slot of one that can't.
    fn batch(&mut self, ask: &Ask, due: Due, now: Instant, out: &mut Outgoing) -> Option<usize> {
        if self.is_learning(now) {
            return None;
        }
        let least = self.least(ask, now)?;
        let entry = &self.upstreams[least];
        if entry.load() + HEADROOM < entry.upstream.slots {
            return Some(least);
        }
        let (index, last) = self.reclaimable(ask, now)?;
        if due.late || !last.late {
            return None;
        }
        self.reclaim(index, out);
        Some(index)
    }

    fn reclaim(&mut self, index: usize, out: &mut Outgoing) {
        if let Some(grant) = self.upstreams[index].account.grants.reclaim() {
            out.push((grant.holder, Frame::Reclaim(grant.lease)));
        }
    }

    /// The upstream with the fewest leases; among equals another one at each turn.
    fn least(&mut self, ask: &Ask, now: Instant) -> Option<usize> {
        self.turn = self.turn.wrapping_add(1);
        let count = self.upstreams.len();
        let start = self.turn as usize % count.max(1);
        (0..count)
            .map(|step| (start + step) % count)
            .filter(|index| self.upstreams[*index].takes(ask, now))
            .min_by_key(|index| self.upstreams[*index].load())
    }

    /// The upstream that runs the batch item that is due last, and when that is.
    fn reclaimable(&self, ask: &Ask, now: Instant) -> Option<(usize, Due)> {
        (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].takes(ask, now))
            .filter_map(|index| Some((index, self.upstreams[index].account.grants.last_due()?)))
            .max_by_key(|(_, due)| *due)
    }

    fn release(&mut self, from: SocketAddr, release: &Release, now: Instant) -> Option<Change> {
        if release.outcome == Outcome::Leaving {
            return self.leave(&release.upstream);
        }
        let index = self.find(&release.upstream)?;
        let may_eject = self.may_eject(index, now);
        let entry = &mut self.upstreams[index];
        let removed = entry.account.grants.remove(from, release.lease);
        let granted_at = removed.and_then(|grant| grant.granted_at);
        if let (Some(at), Outcome::Served) = (granted_at, release.outcome) {
            self.pace.note(now.saturating_duration_since(at));
        }
        let ejected = entry
            .account
            .health
            .note(from, release.outcome, may_eject, now);
        ejected.then(|| Change::Ejected(release.upstream.clone()))
    }

    fn find(&self, upstream: &id::Instance) -> Option<usize> {
        let mut entries = self.upstreams.iter();
        entries.position(|entry| entry.upstream.instance == *upstream)
    }

    /// True if the upstream may be ejected: of those of its service, more than [`MOST_EJECTED_PERCENT`] never are at once,
    /// but one always may. Where most of them are in trouble, the cause is likely not theirs, and to load the others more
    /// makes it worse.
    fn may_eject(&self, index: usize, now: Instant) -> bool {
        let service = &self.upstreams[index].upstream.service;
        let same = self
            .upstreams
            .iter()
            .filter(|entry| entry.upstream.service == *service);
        let ejected = same
            .clone()
            .filter(|it| it.account.health.ejected(now))
            .count();
        ejected == 0 || (ejected + 1) * 100 <= same.count() * MOST_EJECTED_PERCENT
    }

    /// Deals an upstream out no more, because a host has heard that it leaves. A host's list may be cut off from the
    /// platform while its peers still follow theirs.
    fn leave(&mut self, upstream: &id::Instance) -> Option<Change> {
        let before = self.upstreams.len();
        self.upstreams
            .retain(|entry| entry.upstream.instance != *upstream);
        (self.upstreams.len() < before).then(|| Change::Left(upstream.clone()))
    }

    fn holdings(&mut self, from: SocketAddr, holdings: &Holdings, now: Instant) {
        for entry in &mut self.upstreams {
            entry
                .account
                .grants
                .keep(from, holdings.next, &holdings.held);
        }
        for held in &holdings.held {
            self.renew(from, held, now);
        }
    }

    fn renew(&mut self, from: SocketAddr, held: &lease::Held, now: Instant) {
        // A lease at an upstream that is no longer listed needs no account: nothing is granted there.
        let Some(index) = self.find(&held.upstream) else {
            return;
        };
        let account = &mut self.upstreams[index].account;
        if !account.grants.has(from, held.lease)
            && let Some(foreign) = &mut account.foreign
        {
            // It was counted as nobody's.
            *foreign = foreign.saturating_sub(1);
        }
        account.grants.add(grants::Grant {
            holder: from,
            lease: held.lease,
            class: held.class,
            until: now + LEASE_TIME,
            granted_at: None,
        });
    }
}
