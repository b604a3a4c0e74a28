//! The allocator: decides which upstream a request may start at.

mod ask;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_allowance::{Counter, Counts, Reach, Tolerance};
use tinbank_base::id;

use crate::{
    entries::Entries,
    frame::{Frame, HeartbeatReply, Holdings, Release, SlotResponse, Verdict},
    grants::{self, Grants},
    lease::{self, Outcome},
    smoothed_duration::SmoothedDuration,
    slow_start::ColdStart,
    waiting::Waiting,
};

/// How often a host tells its holdings. It is also the heartbeat between hosts.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A lease that its holder has not named for this long is over: three heartbeats and a half.
const LEASE_TIME: Duration = Duration::from_millis(3_500);
/// An allocator that has heard of nobody for this long is not one any more: each host tells its holdings at each heartbeat.
const ASKED_TIME: Duration = Duration::from_secs(2);
/// For how long an allocator that knew of nobody grants nothing to batch: until every host has told its holdings.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
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
    /// It bears few requests a second for a while.
    pub cold: Option<ColdStart>,
}

/// A datagram to send.
pub type Outgoing = SmallVec<[(SocketAddr, Frame); 2]>;

/// What the allocator believes after a datagram, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
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
    upstreams: Entries,
    /// Some are dealt out no more since the list was told, because hosts have heard that they leave.
    has_removed_upstreams: bool,
    /// No lease is over before.
    expires_at: Option<Instant>,
    heard_at: Option<Instant>,
    learning_until: Option<Instant>,
    turn: u64,
    /// What it says of its host.
    alive: HeartbeatReply,
    /// How long online requests take.
    pace: SmoothedDuration,
    /// Online requests for which no slot was free.
    waiting: Waiting,
    /// What customers have used of their allowances.
    counter: Counter,
    /// The hosts that ask it.
    reach: Reach,
}

impl Allocator {
    /// An allocator that knows of nothing. `seed` names its start, and makes the order among equals differ between hosts.
    pub fn new(seed: u64, tolerance: Tolerance) -> Self {
        Self {
            upstreams: Entries::default(),
            has_removed_upstreams: false,
            expires_at: None,
            heard_at: None,
            learning_until: None,
            turn: seed,
            alive: HeartbeatReply::default(),
            pace: SmoothedDuration::default(),
            waiting: Waiting::default(),
            counter: Counter::new(seed, tolerance),
            reach: Reach::default(),
        }
    }

    /// Takes in the upstreams of the failure domain that take requests. Requests that wait for a service that none of them
    /// runs any more are told at once: they may still be in time elsewhere.
    pub fn set_upstreams(&mut self, upstreams: Vec<Upstream>) -> Outgoing {
        self.has_removed_upstreams = false;
        self.upstreams.replace(upstreams);
        let upstreams = &self.upstreams;
        let is_run = |service: &str| upstreams.iter().any(|it| it.upstream.service == service);
        let in_vain = self.waiting.remove_unless(|ask| is_run(&ask.service));
        let denied = in_vain.into_iter().map(|waiter| {
            let answer = SlotResponse {
                lease: waiter.ask.lease,
                verdict: Verdict::Denied,
            };
            (waiter.from, Frame::SlotResponse(answer))
        });
        denied.collect()
    }

    /// True if hosts have heard that upstreams leave which the list named.
    pub fn has_removed_upstreams(&self) -> bool {
        self.has_removed_upstreams
    }

    /// Takes in how many hosts are listed.
    pub fn set_host_count(&mut self, listed: usize, now: Instant) {
        self.reach.listed(listed, now);
    }

    /// What the allocator is to say of its host in its heartbeats.
    pub fn set_heartbeat_reply(&mut self, alive: HeartbeatReply) {
        self.alive = alive;
    }

    /// Takes in a datagram.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        frame: Frame,
        now: Instant,
    ) -> (Outgoing, Option<StateChange>) {
        let mut out = Outgoing::new();
        let change = match frame {
            Frame::SlotRequest(ask) => {
                let change = self.wake(from, now);
                self.ask(from, ask, now, &mut out);
                change
            }
            Frame::Release(release) => self.release(from, &release, now),
            Frame::Withdraw(lease) => {
                self.waiting.remove(from, lease);
                None
            }
            Frame::Holdings(holdings) => {
                let change = self.wake(from, now);
                self.holdings(from, &holdings, now);
                out.push((from, Frame::HeartbeatReply(self.alive)));
                change
            }
            Frame::Counts(counts) => {
                self.reach.told(from, &counts, now);
                self.counter.told(from, counts, now);
                None
            }
            Frame::SlotResponse(_)
            | Frame::Reclaim(_)
            | Frame::HeartbeatReply(_)
            | Frame::Ping
            | Frame::Quarantine(_) => {
                return (out, None);
            }
        };
        self.serve_waiting(now, &mut out);
        (out, change)
    }

    /// Forgets all leases, as after a pause of the process: what it believes is as old as the pause.
    pub fn forget_leases(&mut self, now: Instant) {
        for entry in self.upstreams.iter_mut() {
            entry.account.grants = Grants::default();
            entry.account.foreign = None;
            entry.account.slow_start.forget(now);
        }
        self.learning_until = Some(now + LEARNING_TIME);
        self.counter.forget(false, now);
        self.reach.forget();
    }

    /// The upstreams that may work on requests of hosts that were lost. One that was found without any needs no other look: such
    /// requests only become fewer.
    pub fn upstreams_to_poll(&self) -> impl Iterator<Item = &Upstream> {
        let unsettled = self.upstreams.iter();
        let unsettled = unsettled.filter(|it| it.account.foreign.is_none_or(|it| it > 0));
        unsettled.map(|entry| &entry.upstream)
    }

    /// Takes in how many requests an upstream says that it has. Those that no known lease is for are of hosts that were
    /// lost: the upstream does not notice at once when a host loses power. They only become fewer.
    pub fn record_load(&mut self, upstream: &id::Instance, requests: usize, now: Instant) -> Outgoing {
        let mut out = Outgoing::new();
        if let Some(index) = self.upstreams.find(upstream) {
            self.upstreams[index].account.reported(requests, now);
            self.serve_waiting(now, &mut out);
        }
        out
    }

    /// Upstreams were asked for long enough: what they still work on is not of hosts that were lost.
    pub fn clear_orphaned(&mut self) {
        for entry in self.upstreams.iter_mut() {
            entry.account.foreign = None;
        }
    }

    /// True while hosts ask this allocator and it learns, or upstreams work on requests of hosts that were lost. One that
    /// nobody asks any more knows no leases, and would take all that upstreams do for work of lost hosts.
    pub fn needs_load_reports(&self, now: Instant) -> bool {
        let mut entries = self.upstreams.iter();
        let has_foreign = entries.any(|it| it.account.foreign.is_some_and(|it| it > 0));
        self.is_asked(now) && (self.is_learning(now) || has_foreign)
    }

    /// Starts learning if nobody has told anything for longer than a lease holds.
    fn wake(&mut self, from: SocketAddr, now: Instant) -> Option<StateChange> {
        let idle = self.heard_at.is_none_or(|at| now > at + LEASE_TIME);
        self.heard_at = Some(now);
        if idle {
            self.reach.forget();
        }
        self.reach.heard(from, now);
        let share = self.reach.share(now);
        self.counter.give_out(share, now);
        if !idle {
            return None;
        }
        self.learning_until = Some(now + LEARNING_TIME);
        if !self.reach.is_told(now) {
            self.counter.forget(self.reach.is_new(now), now);
        }
        for entry in self.upstreams.iter_mut() {
            entry.account.foreign = None;
            entry.account.slow_start.forget(now);
        }
        Some(StateChange::Learning)
    }

    /// What other allocators have to hear of the customers that this one has let in, while it is one.
    pub fn counts(&mut self, now: Instant) -> Option<Counts> {
        match self.is_asked(now) {
            true => {
                let reach = &self.reach;
                self.counter.news(reach, now)
            }
            false => None,
        }
    }

    /// Hosts that have told this one their counts at most `age` ago.
    pub fn recent_count_senders(&self, age: Duration, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.reach.tellers(age, now)
    }

    fn is_asked(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now < at + ASKED_TIME)
    }

    /// True while the allocator may not know who uses which slots.
    fn is_learning(&self, now: Instant) -> bool {
        self.learning_until.is_some_and(|until| now < until)
    }

    /// Drops the leases whose time is up.
    fn expire(&mut self, now: Instant) {
        if self.expires_at.is_some_and(|at| now < at) {
            return;
        }
        let entries = self.upstreams.iter_mut();
        let next = entries.filter_map(|it| it.account.grants.expire(now)).min();
        // What is granted from now on lasts for longer.
        self.expires_at = Some(next.unwrap_or(now + LEASE_TIME));
    }

    fn release(&mut self, from: SocketAddr, release: &Release, now: Instant) -> Option<StateChange> {
        if release.outcome == Outcome::Leaving {
            return self.leave(&release.upstream);
        }
        let index = self.upstreams.find(&release.upstream)?;
        let may_eject = self.may_eject(index, now);
        let entry = &mut self.upstreams[index];
        let removed = entry.account.grants.remove(from, release.lease);
        let granted_at = removed.and_then(|grant| grant.granted_at);
        if let (Some(at), Outcome::Served) = (granted_at, release.outcome) {
            self.pace.record(now.saturating_duration_since(at));
        }
        let ejected = entry
            .account
            .health
            .note(from, release.outcome, may_eject, now);
        ejected.then(|| StateChange::Ejected(release.upstream.clone()))
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
    fn leave(&mut self, upstream: &id::Instance) -> Option<StateChange> {
        let is_known = self.upstreams.remove(upstream);
        self.has_removed_upstreams |= is_known;
        is_known.then(|| StateChange::Left(upstream.clone()))
    }

    fn holdings(&mut self, from: SocketAddr, holdings: &Holdings, now: Instant) {
        self.upstreams.keep(from, holdings.next, &holdings.held);
        for held in &holdings.held {
            self.renew(from, held, now);
        }
    }

    fn renew(&mut self, from: SocketAddr, held: &lease::Held, now: Instant) {
        // A lease at an upstream that is no longer listed needs no account: nothing is granted there.
        let Some(index) = self.upstreams.find(&held.upstream) else {
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
        self.upstreams.note_holder(index, from);
    }
}
