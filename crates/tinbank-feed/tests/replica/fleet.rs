//! A store whose entries lapse in outages, and hosts that know its list of upstreams from it or from each other.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Allocator,
    allocator::{self, StateChange},
    frame::{Frame, Release},
    lease::Outcome,
    leaving::Evidence,
};
use tinbank_base::id;
use tinbank_feed::{
    Replica,
    message::{Age, Position, Scope, Update, UpdateRequest},
    replica::Record,
};
use tinbank_relay::{
    listing::{self, Cause, Change, Reading},
    upstream::Upstream,
};

/// Hosts, all of the failure domain `north`.
pub const HOSTS: usize = 4;
/// Upstreams; the first half are in `north`, the others in `south`.
pub const UPSTREAMS: usize = 4;
/// Host with the allocator of `north`.
pub const ALLOCATOR: usize = 3;
/// Duration of an outage, long enough that entries lapse.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Longest time from the return of the store to that of a lapsed entry.
const MAX_RETURN: Duration = Duration::from_millis(2_000);
/// Interval of the heartbeats of upstreams, which write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// Longest time between the state that a read returns and its end.
const READ_TIME: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Reads the store for itself, since no delegate sends fresh updates.
    Reader,
    Delegate,
}

/// A fault of single hosts while the store serves all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Refused,
    Frozen,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The store is away. The entries of the upstreams in the mask lapse.
    Outage(u8),
    /// An upstream is gone while the store is reachable.
    Stall(usize),
    /// It is back as the same instance.
    Resume(usize),
    /// The store answers a read of a host.
    BeginRead(usize),
    /// The host receives the answer.
    EndRead(usize),
    /// A host receives an update of another one.
    Follow(usize, usize),
    Restart(usize),
    SetRole(usize, Role),
    Wait(u64),
    /// Some rounds in which each host gets the list as its role says, see [`Fleet::run_normally`].
    Rounds(u8),
    /// The store has deleted the records after the position of a host, which then reads the whole list.
    Trim(usize),
    /// A host returns grants of all upstreams that it takes for leaving.
    Report(usize),
    /// A host asks another one since when the store has answered it.
    Ask(usize, usize),
    /// The store refuses the hosts in the mask for a number of rounds and serves the others.
    Refuse(u8, u8),
    /// The processes of the hosts in the mask stand still for a number of rounds.
    Freeze(u8, u8),
}

struct Entry {
    upstream: Upstream,
    is_listed: bool,
    /// When it is written next.
    writes_at: Option<Instant>,
    /// Whether it was ever removed other than in an outage.
    has_stalled: bool,
    is_stalled: bool,
    /// Position after the record that listed it again.
    listed_at: Position,
}

struct Answer {
    from: Option<Position>,
    records: Vec<Record>,
    end: Position,
    at: Instant,
}

struct Host {
    replica: Replica,
    role: Role,
    /// Which host it followed last.
    follows: usize,
    /// Which host it asks next for its contact with the store.
    asks: usize,
    read_at: Option<Instant>,
    answer: Option<Answer>,
}

impl Host {
    fn new(role: Role) -> Self {
        Self {
            replica: Replica::default(),
            role,
            follows: 0,
            asks: 0,
            read_at: None,
            answer: None,
        }
    }

    fn scope(&self) -> listing::Scope {
        match self.role {
            Role::Delegate => listing::Scope::All,
            Role::Follower | Role::Reader => listing::Scope::Domain("north".to_owned()),
        }
    }
}

pub struct Fleet {
    now: Instant,
    returned_at: Instant,
    entries: Vec<Entry>,
    /// The newest record of each key by position, as the store keeps them.
    log: BTreeMap<Position, Record>,
    end: Position,
    hosts: Vec<Host>,
    allocator: Allocator,
    wrongly_removed: Vec<id::Instance>,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8], 7000))
}

fn upstream(index: usize) -> Upstream {
    Upstream {
        instance: format!("u{index}").into(),
        name: format!("u{index}").into(),
        address: SocketAddr::from(([10, 0, 1, index as u8], 8000)),
        service: "notes".to_owned(),
        failure_domain: if index < UPSTREAMS / 2 {
            "north"
        } else {
            "south"
        }
        .to_owned(),
        slots: 4,
        leaving: false,
        build: "v1".into(),
        cold_until: None,
    }
}

impl Fleet {
    pub fn new() -> Self {
        let now = Instant::now();
        let entries = (0..UPSTREAMS).map(|index| Entry {
            upstream: upstream(index),
            is_listed: false,
            writes_at: Some(now),
            has_stalled: false,
            is_stalled: false,
            listed_at: 0,
        });
        let mut fleet = Self {
            now,
            returned_at: now,
            entries: entries.collect(),
            log: BTreeMap::new(),
            end: 0,
            hosts: (0..HOSTS).map(|_| Host::new(Role::Follower)).collect(),
            allocator: Allocator::new(1, Default::default()),
            wrongly_removed: Vec::new(),
        };
        fleet.advance(STEP);
        fleet
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    pub fn play(&mut self, step: Step) {
        self.advance(STEP);
        match step {
            Step::Outage(lapsing) => self.outage(lapsing),
            Step::Stall(index) => {
                let entry = &mut self.entries[index];
                (entry.has_stalled, entry.is_stalled) = (true, true);
                entry.writes_at = None;
                self.remove(index);
            }
            Step::Resume(index) => {
                self.entries[index].is_stalled = false;
                self.entries[index].writes_at.get_or_insert(self.now);
                self.advance(STEP);
            }
            Step::BeginRead(host) => self.begin_read(host),
            Step::EndRead(host) => self.end_read(host),
            Step::Follow(host, delegate) => self.follow(host, delegate),
            Step::Restart(host) => self.hosts[host] = Host::new(self.hosts[host].role),
            Step::SetRole(host, role) => self.hosts[host].role = role,
            Step::Wait(ms) => self.advance(Duration::from_millis(ms)),
            Step::Rounds(rounds) => (0..rounds).for_each(|_| self.run_normally()),
            Step::Trim(host) => self.hosts[host].replica.reset(),
            Step::Report(host) => self.report(host),
            Step::Ask(host, other) => self.ask(host, other),
            Step::Refuse(mask, rounds) => {
                (0..rounds).for_each(|_| self.run_round(mask, Trouble::Refused))
            }
            Step::Freeze(mask, rounds) => {
                (0..rounds).for_each(|_| self.run_round(mask, Trouble::Frozen))
            }
        }
    }

    /// Lets time pass. Upstreams write their entries at each heartbeat.
    fn advance(&mut self, time: Duration) {
        self.now += time;
        for index in 0..UPSTREAMS {
            if self.entries[index]
                .writes_at
                .is_some_and(|at| at <= self.now)
            {
                self.write(index);
            }
        }
    }

    fn write(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.writes_at = Some(self.now + HEARTBEAT);
        let upstream = entry.upstream.clone();
        let was_listed = std::mem::replace(&mut entry.is_listed, true);
        self.append(index, Record::Listed(upstream));
        if !was_listed {
            self.entries[index].listed_at = self.end;
        }
    }

    fn remove(&mut self, index: usize) {
        if std::mem::take(&mut self.entries[index].is_listed) {
            let name = self.entries[index].upstream.name.clone();
            self.append(index, Record::Removed(name));
        }
    }

    fn append(&mut self, index: usize, record: Record) {
        let name = &self.entries[index].upstream.name;
        self.log.retain(|_, it| match it {
            Record::Listed(upstream) => upstream.name != *name,
            Record::Removed(removed) => removed != name,
        });
        self.log.insert(self.end, record);
        self.end += 1;
    }

    /// The store is away. Each host that reads it notices.
    fn outage(&mut self, lapsing: u8) {
        self.begin_outage(None);
        self.now += OUTAGE;
        self.lapse(lapsing);
    }

    fn begin_outage(&mut self, suspended: Option<usize>) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.answer = None;
            if host.role != Role::Follower && suspended != Some(index) {
                host.replica.record_store_failure();
            }
        }
    }

    /// Removes the entries of the upstreams in the mask, which return after the outage.
    fn lapse(&mut self, lapsing: u8) {
        self.returned_at = self.now;
        for index in 0..UPSTREAMS {
            if self.entries[index].is_stalled {
                continue;
            }
            // They return one after the other.
            let part = (index as u32 + 1) * MAX_RETURN / UPSTREAMS as u32;
            if lapsing & (1 << index) != 0 {
                self.remove(index);
                self.entries[index].writes_at = Some(self.now + part);
            } else {
                self.entries[index].writes_at = Some(self.now);
            }
        }
    }

    /// The store is away while a host is suspended. Its clock stands, and it notices the pause when it runs again.
    pub fn suspend_in_outage(&mut self, index: usize, lapsing: u8) {
        self.begin_outage(Some(index));
        self.lapse(lapsing);
        self.hosts[index].replica.record_pause();
    }

    fn begin_read(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.role == Role::Follower {
            return;
        }
        let is_own_domain_only = *host.replica.listing().scope() != listing::Scope::All;
        if host.role == Role::Delegate && is_own_domain_only {
            host.replica.reset();
        }
        let from = host.replica.position();
        let records = self.log.range(from.unwrap_or(0)..);
        host.answer = Some(Answer {
            from,
            records: records.map(|(_, record)| record.clone()).collect(),
            end: self.end,
            at: self.now,
        });
    }

    fn end_read(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let Some(answer) = host.answer.take().filter(|it| now <= it.at + READ_TIME) else {
            return;
        };
        host.replica.record_store_answer(now);
        let at = Reading {
            position: answer.end,
            now,
        };
        let scope = host.scope();
        let changes = match answer.from {
            Some(from) => host.replica.apply_since(from, answer.records, at),
            None => host.replica.apply_whole(answer.records, scope, at),
        };
        if let Some(changes) = changes {
            host.read_at = Some(now);
            self.on_changes(index, &changes);
        }
    }

    fn follow(&mut self, index: usize, delegate: usize) {
        if index == delegate {
            return;
        }
        self.hosts[index].follows = delegate;
        let host = &self.hosts[index];
        let scope = match host.role {
            Role::Delegate => Scope::Whole,
            Role::Follower | Role::Reader => Scope::Domain("north".to_owned()),
        };
        let mut request = UpdateRequest {
            scope: scope.clone(),
            ..UpdateRequest::default()
        };
        host.replica
            .fill_request(&scope, address(delegate), &mut request);
        let source = &self.hosts[delegate];
        let age = source.read_at.map(|at| self.now - at);
        let mut update = Update {
            age: Age::default(),
            ..Update::default()
        };
        source
            .replica
            .fill_update(&request, age, &mut update, self.now);
        let scope = host.scope();
        let read_at = update.age.upstreams.map(|age| self.now - age);
        let host = &mut self.hosts[index];
        host.read_at = host.read_at.max(read_at);
        let changes = host
            .replica
            .apply_update(&mut update, address(delegate), scope, self.now);
        if let Some(changes) = changes {
            self.on_changes(index, &changes);
        }
    }

    fn ask(&mut self, index: usize, other: usize) {
        if index == other {
            return;
        }
        let contact = self.hosts[other].replica.contact(self.now);
        let Some(period) = contact.period(self.now, self.now) else {
            return;
        };
        let replica = &mut self.hosts[index].replica;
        let changes = replica.record_contact(period, self.now);
        self.on_changes(index, &changes);
    }

    /// Passes the list to the allocator.
    fn on_changes(&mut self, index: usize, changes: &[Change]) {
        if index != ALLOCATOR {
            return;
        }
        let replica = &self.hosts[index].replica;
        if let Some(position) = replica.position() {
            self.allocator.set_list(position, replica.missing());
        }
        if changes.is_empty() && !self.allocator.has_removed_upstreams() {
            return;
        }
        let serving = replica.listing().serving();
        let north = serving.filter(|it| it.failure_domain == "north");
        let upstreams = north.map(|it| allocator::Upstream {
            instance: it.instance.clone(),
            address: it.address,
            service: it.service.clone(),
            slots: it.slots,
            memory_tokens: None,
            max_connections: None,
            build: "v1".into(),
            cold: None,
        });
        self.allocator.set_upstreams(upstreams.collect());
    }

    fn report(&mut self, index: usize) {
        for entry in &self.entries {
            let instance = &entry.upstream.instance;
            let listing = self.hosts[index].replica.listing();
            let evidence = match listing.cause_of_leaving(instance, self.now) {
                Some(Cause::List(position)) => Evidence::List(position),
                Some(Cause::Reply) => Evidence::Reply,
                None => continue,
            };
            let release = Release {
                lease: 1,
                upstream: instance.clone(),
                outcome: Outcome::Leaving(evidence),
                pace: None,
            };
            let (_, change) =
                self.allocator
                    .receive(address(index), Frame::Release(release), self.now);
            let knows_return = self.hosts[ALLOCATOR].replica.position() >= Some(entry.listed_at);
            let is_removed = matches!(change, Some(StateChange::Left(_)));
            if is_removed && entry.is_listed && knows_return {
                self.wrongly_removed.push(instance.clone());
            }
        }
    }

    /// Returns the upstreams of which the allocator grants slots.
    pub fn allocated(&self) -> Vec<String> {
        let upstreams = self.allocator.upstreams_to_poll();
        let mut names: Vec<_> = upstreams.map(|it| it.instance.to_string()).collect();
        names.sort();
        names
    }

    /// Returns the upstreams that an allocator gave up although its own list has their latest return.
    pub fn wrongly_removed(&self) -> &[id::Instance] {
        &self.wrongly_removed
    }

    /// Returns the hosts that take upstreams for gone that were never away, except for their entries in an outage.
    pub fn wrongly_gone(&self) -> Vec<(usize, id::Instance)> {
        self.gone(|it| !it.has_stalled)
    }

    /// Returns the hosts that take upstreams for gone that serve now.
    pub fn gone_although_serving(&self) -> Vec<(usize, id::Instance)> {
        self.gone(|it| !it.is_stalled)
    }

    fn gone(&self, is_wrong: impl Fn(&Entry) -> bool) -> Vec<(usize, id::Instance)> {
        let mut found = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            for entry in self.entries.iter().filter(|it| is_wrong(it)) {
                let instance = &entry.upstream.instance;
                if host.replica.listing().is_leaving(instance, self.now) {
                    found.push((index, instance.clone()));
                }
            }
        }
        found
    }

    /// Returns the upstreams of `north` that a host takes for serving.
    pub fn serving(&self, host: usize) -> Vec<String> {
        let serving = self.hosts[host].replica.listing().serving();
        let north = serving.filter(|it| it.failure_domain == "north");
        let mut names: Vec<_> = north.map(|it| it.instance.to_string()).collect();
        names.sort();
        names
    }

    /// Returns the upstreams of `north` that serve.
    pub fn expected(&self) -> Vec<String> {
        let alive = self.entries[..UPSTREAMS / 2].iter();
        let alive = alive.filter(|it| !it.is_stalled);
        alive.map(|it| it.upstream.instance.to_string()).collect()
    }

    pub fn position(&self, host: usize) -> Option<Position> {
        self.hosts[host].replica.position()
    }

    /// Makes host 0 a delegate, if there is none. Returns when the store returned from its last outage.
    pub fn end_outage(&mut self) -> Instant {
        self.hosts[0].role = Role::Delegate;
        for host in &mut self.hosts {
            host.follows = 0;
        }
        self.returned_at.max(self.now - MAX_RETURN)
    }

    /// Lets half a second pass in which each host gets the list as its role says.
    pub fn run_normally(&mut self) {
        self.run_round(0, Trouble::Refused);
    }

    /// Lets half a second pass in which the hosts in the mask are in trouble.
    fn run_round(&mut self, mask: u8, trouble: Trouble) {
        for index in 0..HOSTS {
            if mask & (1 << index) != 0 {
                self.suffer(index, trouble);
                continue;
            }
            match self.hosts[index].role {
                Role::Follower => self.play(Step::Follow(index, self.hosts[index].follows)),
                Role::Reader | Role::Delegate => {
                    self.play(Step::BeginRead(index));
                    self.play(Step::EndRead(index));
                    self.confirm_contact(index, mask, trouble);
                }
            }
        }
        self.advance(Duration::from_millis(300));
    }

    fn suffer(&mut self, index: usize, trouble: Trouble) {
        let host = &mut self.hosts[index];
        host.answer = None;
        match trouble {
            Trouble::Frozen => {}
            Trouble::Refused if host.role == Role::Follower => {
                self.play(Step::Follow(index, self.hosts[index].follows));
            }
            Trouble::Refused => host.replica.record_store_failure(),
        }
    }

    /// Asks the hosts that are not frozen, one after the other, if this host needs to know whether the store was away. A host that
    /// reads for itself alone requests an update of the next host instead.
    fn confirm_contact(&mut self, index: usize, mask: u8, trouble: Trouble) {
        let requests = match self.hosts[index].role {
            Role::Delegate => HOSTS,
            Role::Reader | Role::Follower => 1,
        };
        for _ in 0..requests {
            if !self.hosts[index].replica.needs_contact() {
                return;
            }
            let other = (self.hosts[index].asks + 1) % HOSTS;
            self.hosts[index].asks = other;
            if trouble == Trouble::Frozen && mask & (1 << other) != 0 {
                continue;
            }
            self.play(match self.hosts[index].role {
                Role::Delegate => Step::Ask(index, other),
                Role::Reader | Role::Follower => Step::Follow(index, other),
            });
        }
    }

    /// Runs until all lists can be relied on.
    pub fn settle(&mut self) {
        for _ in 0..10 {
            self.run_normally();
        }
    }
}
