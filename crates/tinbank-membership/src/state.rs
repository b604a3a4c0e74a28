//! The state machine: events in, actions out. It reads no clock and draws nothing but from the seed it was given.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{
    Rng, SeedableRng,
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};
use smallvec::SmallVec;
use tinbank_base::{
    event,
    frame::heartbeat::{Health, Heartbeat, Leaving, News, Phase},
    id,
    peer::{Member, Members},
    platform::hosts,
    record::Writer,
};

use crate::{
    claim::Claim,
    gossip::Queue,
    probe::{Due, Probes},
    table::Table,
};

/// Time between ticks: each sends one probe.
pub const TICK: Duration = Duration::from_millis(600);
/// A tick that comes this much late means that we were paused, not the others.
const PAUSED: Duration = Duration::from_millis(1_500);
/// Pieces of news of processes in one heartbeat.
const MAX_NEWS: usize = 5;
/// Bytes of news of processes in one heartbeat, whatever the length of the names.
const MAX_NEWS_BYTES: usize = 700;
/// Bytes of one piece of news but for the name of its failure domain; IPv6 addresses and full counters.
const NEWS_BYTES: usize = 70;
/// Pieces of news of upstreams in one heartbeat.
const MAX_LEAVING: usize = 8;
/// Peers that urgent news is sent to at once by each who learns it.
const URGENT_FANOUT: usize = 4;
/// Upstreams remembered as leaving.
const MAX_UPSTREAMS: usize = 1_024;
/// Pieces of news that wait to be passed on.
const MAX_QUEUE: usize = 512;
/// Every which tick also probes a process that is held for dead, so that a split heals.
const REVIVE_EVERY: u64 = 4;
/// Every which tick also probes a seed, so that processes that know nothing of each other find each other.
const SEED_EVERY: u64 = 40;
/// Every which frame without news repeats what is known of one process, for those who missed it.
const REPEAT_EVERY: u64 = 4;
/// Every which tick forgets the long dead.
const FORGET_EVERY: u64 = 120;

/// Our own process.
#[derive(Clone, Debug)]
pub struct Own {
    /// Who we are.
    pub writer: Writer,
    /// Where we take frames.
    pub peer: SocketAddr,
    /// Where we take HTTP requests.
    pub http: SocketAddr,
    /// Where we stand.
    pub failure_domain: id::FailureDomain,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`TICK`] has passed.
    Tick,
    /// A heartbeat came.
    Heard {
        /// Who sent it.
        from: Writer,
        /// What it says.
        heartbeat: Box<Heartbeat>,
    },
    /// We are in another phase.
    Phase(Phase),
    /// Our configuration stream up to before this offset is in force.
    Config(id::Offset),
    /// We use so many per mille of our time.
    Load(u16),
    /// The platform's host list.
    Hosts(Arc<hosts::List>),
    /// We saw the first sign that an upstream leaves.
    UpstreamLeaving(Leaving),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What it says.
        heartbeat: Box<Heartbeat>,
    },
    /// Publish [`State::members`]: it changed.
    Members,
    /// Publish [`State::leaving`]: it changed.
    Leaving,
    /// Publish who is ahead of us.
    Ahead(Option<Ahead>),
    /// Note an event of the time line about another process.
    Note {
        /// Which process.
        process: id::Process,
        /// What happened.
        kind: event::Kind,
    },
}

/// A peer whose configuration is further than ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ahead {
    /// Where to ask it for the entries.
    pub peer: SocketAddr,
    /// Its configuration stream up to before this offset is in force.
    pub config: id::Offset,
}

/// All that one process knows of the others.
#[derive(Clone, Debug)]
pub struct State {
    own: Own,
    refutation: u32,
    phase: Phase,
    config: id::Offset,
    load: u16,
    seeds: Vec<SocketAddr>,
    hosts: Arc<hosts::List>,
    table: Table,
    probes: Probes,
    news: Queue<id::Process>,
    upstreams: BTreeMap<id::Upstream, Leaving>,
    upstream_news: Queue<id::Upstream>,
    ahead: Option<Ahead>,
    /// Processes still to be probed in this round; every one has its turn.
    round: Vec<id::Process>,
    ticks: u64,
    frames: u64,
    ticked: Instant,
    random: SmallRng,
}

impl State {
    /// Knows ourselves and the seeds. All random choices follow from `seed`.
    pub fn new(own: Own, seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|&address| address != own.peer)
            .collect();
        Self {
            own,
            refutation: 0,
            phase: Phase::Starting,
            config: 0,
            load: 0,
            seeds,
            hosts: Arc::default(),
            table: Table::default(),
            probes: Probes::default(),
            news: Queue::new(MAX_QUEUE),
            upstreams: BTreeMap::new(),
            upstream_news: Queue::new(MAX_UPSTREAMS),
            ahead: None,
            round: Vec::new(),
            ticks: 0,
            frames: 0,
            ticked: now,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes in an event and tells what to do.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Heard { from, heartbeat } => self.heard(from, *heartbeat, now, &mut actions),
            Event::Phase(phase) => self.set_phase(phase, &mut actions),
            Event::Config(config) => self.set_config(config, &mut actions),
            Event::Load(load) => self.load = load,
            Event::Hosts(list) => self.set_hosts(list, now, &mut actions),
            Event::UpstreamLeaving(leaving) => {
                if self.learn_upstream(leaving, &mut actions) {
                    self.spread(&mut actions);
                }
            }
        }
        actions
    }

    /// All that are known, ourselves included, by process.
    pub fn members(&self) -> Members {
        let mut members: Vec<_> = self
            .table
            .iter()
            .map(|(process, row)| row.member(process))
            .collect();
        let own = self.own_member();
        let place = members.partition_point(|member| member.writer.process < own.writer.process);
        members.insert(place, own);
        Members { members }
    }

    /// Upstreams that we or peers saw leaving.
    pub fn leaving(&self) -> Vec<Leaving> {
        self.upstreams.values().copied().collect()
    }

    fn own_member(&self) -> Member {
        Member {
            writer: self.own.writer,
            health: self.own_health(),
            phase: self.phase,
            peer: self.own.peer,
            http: self.own.http,
            failure_domain: self.own.failure_domain.clone(),
            config: self.config,
        }
    }

    fn own_health(&self) -> Health {
        match self.phase {
            Phase::Leaving => Health::Leaving,
            Phase::Starting | Phase::Ready => Health::Alive,
        }
    }

    fn set_phase(&mut self, phase: Phase, actions: &mut Vec<Action>) {
        if phase <= self.phase {
            return;
        }
        self.phase = phase;
        actions.push(Action::Members);
        self.spread(actions);
    }

    fn set_config(&mut self, config: id::Offset, actions: &mut Vec<Action>) {
        if config <= self.config {
            return;
        }
        self.config = config;
        actions.push(Action::Members);
        self.update_ahead(actions);
    }

    fn update_ahead(&mut self, actions: &mut Vec<Action>) {
        let furthest = self
            .table
            .iter()
            .filter(|(_, row)| row.config > self.config)
            .filter(|(_, row)| matches!(row.claim.health, Health::Alive | Health::Leaving))
            .max_by_key(|(_, row)| row.config);
        let ahead = furthest.map(|(_, row)| Ahead {
            peer: row.claim.peer,
            config: row.config,
        });
        if ahead != self.ahead {
            self.ahead = ahead;
            actions.push(Action::Ahead(ahead));
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.saturating_duration_since(self.ticked) > PAUSED {
            self.probes.forgive(now);
        }
        self.ticked = now;
        self.ticks += 1;
        for due in self.probes.due(now) {
            match due {
                Due::Again(process) => self.probe(process, now, actions),
                Due::Suspect(process) => self.suspect(process, now, actions),
                Due::Dead(process) => self.bury(process, now, actions),
            }
        }
        let next = self.next_in_round();
        if let Some(process) = next {
            self.probe(process, now, actions);
        }
        self.probe_a_suspect(now, actions);
        if self.ticks.is_multiple_of(REVIVE_EVERY) {
            self.revive(actions);
        }
        if next.is_none() || self.ticks.is_multiple_of(SEED_EVERY) {
            self.ask_a_seed(actions);
        }
        if self.ticks.is_multiple_of(FORGET_EVERY) {
            self.table.forget(now);
        }
    }

    fn next_in_round(&mut self) -> Option<id::Process> {
        if self.round.is_empty() {
            self.round = self
                .table
                .iter()
                .filter(|(_, row)| row.claim.health != Health::Dead)
                .map(|(process, _)| process)
                .collect();
            self.round.shuffle(&mut self.random);
        }
        while let Some(process) = self.round.pop() {
            let row = self.table.get(process);
            if row.is_some_and(|row| row.claim.health != Health::Dead) {
                return Some(process);
            }
        }
        None
    }

    fn probe(&mut self, process: id::Process, now: Instant, actions: &mut Vec<Action>) {
        let Some(to) = self.table.address(process) else {
            self.probes.clear(process);
            return;
        };
        self.probes.sent(process, now);
        let heartbeat = self.heartbeat(Some(process), true);
        actions.push(Action::Send { to, heartbeat });
    }

    /// A suspect hears of the suspicion from many, so that lost frames don't cost it its life.
    fn probe_a_suspect(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let count = self.probes.suspects().len();
        if count == 0 {
            return;
        }
        let chosen = self.random.random_range(0..count);
        let process = self.probes.suspects().nth(chosen);
        if let Some(process) = process {
            self.probe(process, now, actions);
        }
    }

    /// Speaks to one that is held for dead: it may be our side that was cut off.
    fn revive(&mut self, actions: &mut Vec<Action>) {
        let count = self.table.dead().len();
        if count == 0 {
            return;
        }
        let chosen = self.random.random_range(0..count);
        let process = self.table.dead().iter().nth(chosen).copied();
        let Some(to) = process.and_then(|process| self.table.address(process)) else {
            return;
        };
        let heartbeat = self.heartbeat(process, true);
        actions.push(Action::Send { to, heartbeat });
    }

    fn ask_a_seed(&mut self, actions: &mut Vec<Action>) {
        let Some(&to) = self.seeds.choose(&mut self.random) else {
            return;
        };
        let heartbeat = self.heartbeat(None, true);
        actions.push(Action::Send { to, heartbeat });
    }

    fn suspect(&mut self, process: id::Process, now: Instant, actions: &mut Vec<Action>) {
        let Some(row) = self.table.get(process) else {
            return;
        };
        match row.claim.health {
            Health::Alive => {
                let claim = Claim {
                    health: Health::Suspect,
                    ..row.claim.clone()
                };
                self.learn(process, claim, now, actions);
            }
            // It said that it leaves, which outranks a suspicion; the doubt stays with us.
            Health::Suspect | Health::Leaving => self.probes.suspect(process, now),
            Health::Dead => {}
        }
    }

    fn bury(&mut self, process: id::Process, now: Instant, actions: &mut Vec<Action>) {
        let Some(row) = self.table.get(process) else {
            return;
        };
        let claim = Claim {
            health: Health::Dead,
            ..row.claim.clone()
        };
        self.learn(process, claim, now, actions);
    }

    /// Takes in a claim on another process, passes it on if it is new, and tells whether it was.
    fn learn(
        &mut self,
        process: id::Process,
        claim: Claim,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let before = self.table.get(process);
        // That a listed process is as listed is no news, or a start of the whole fleet would drown all other news.
        let expected = before.is_some_and(|row| row.is_as_listed(&claim));
        let before = before.map(|row| row.claim.health);
        let health = claim.health;
        if !self.table.learn(process, claim, now) {
            return false;
        }
        match health {
            Health::Suspect => self.probes.suspect(process, now),
            Health::Alive | Health::Leaving | Health::Dead => self.probes.clear(process),
        }
        let kind = match (before, health) {
            (None | Some(Health::Dead), Health::Alive) => Some(event::Kind::Joined),
            (_, Health::Suspect) => Some(event::Kind::Suspected),
            (_, Health::Dead) => Some(event::Kind::Died),
            (_, Health::Leaving) => Some(event::Kind::PeerLeaving),
            _ => None,
        };
        if let Some(kind) = kind {
            actions.push(Action::Note { process, kind });
        }
        if !expected {
            self.news.push(process, self.table.len());
        }
        actions.push(Action::Members);
        true
    }

    fn heard(
        &mut self,
        from: Writer,
        heartbeat: Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let process = from.process;
        if process == self.own.writer.process {
            return;
        }
        let known = self.table.get(process);
        if known.is_some_and(|row| row.claim.incarnation > from.incarnation) {
            return;
        }
        let mut urgent = self.learn_sender(from, &heartbeat, now, actions);
        for news in heartbeat.news {
            urgent |= self.learn_news(news, now, actions);
        }
        for leaving in heartbeat.leaving {
            urgent |= self.learn_upstream(leaving, actions);
        }
        if heartbeat.answer || self.is_accused(process) {
            let reply = self.heartbeat(Some(process), false);
            actions.push(Action::Send {
                to: heartbeat.peer,
                heartbeat: reply,
            });
        }
        if urgent {
            self.spread(actions);
        }
    }

    /// Takes in what the sender says of itself, and tells whether it is urgent news.
    fn learn_sender(
        &mut self,
        from: Writer,
        heartbeat: &Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let process = from.process;
        let leaves = heartbeat.phase == Phase::Leaving;
        let claim = Claim {
            incarnation: from.incarnation,
            refutation: heartbeat.refutation,
            health: if leaves {
                Health::Leaving
            } else {
                Health::Alive
            },
            phase: heartbeat.phase,
            peer: heartbeat.peer,
            http: heartbeat.http,
            failure_domain: heartbeat.failure_domain.clone(),
        };
        let new = self.learn(process, claim, now, actions);
        self.probes.answered(process);
        if !self.is_accused(process) {
            self.probes.clear(process);
        }
        if self.table.set_config(process, heartbeat.config) {
            actions.push(Action::Members);
            self.update_ahead(actions);
        }
        new && leaves
    }

    /// Whether we hold a process for worse than it is, if it speaks.
    fn is_accused(&self, process: id::Process) -> bool {
        self.table
            .get(process)
            .is_some_and(|row| matches!(row.claim.health, Health::Suspect | Health::Dead))
    }

    /// Takes in news of a third process or of ourselves, and tells whether it is urgent.
    fn learn_news(&mut self, news: News, now: Instant, actions: &mut Vec<Action>) -> bool {
        if news.member.process == self.own.writer.process {
            return self.refute(&news);
        }
        let leaves = news.health == Health::Leaving;
        let process = news.member.process;
        self.learn(process, Claim::from_news(news), now, actions) && leaves
    }

    /// Contradicts a claim that we are silent or dead.
    fn refute(&mut self, news: &News) -> bool {
        let accused = matches!(news.health, Health::Suspect | Health::Dead);
        let about_us =
            news.member.incarnation == self.own.writer.incarnation || news.member.incarnation == 0;
        if !accused || !about_us || news.refutation < self.refutation {
            return false;
        }
        self.refutation = news.refutation.saturating_add(1);
        true
    }

    fn set_hosts(&mut self, list: Arc<hosts::List>, now: Instant, actions: &mut Vec<Action>) {
        if list.version < self.hosts.version {
            return;
        }
        self.table
            .merge(&list.members, self.own.writer.process, now);
        actions.push(Action::Members);
        let before = std::mem::replace(&mut self.hosts, list.clone());
        let count = self.upstreams.len();
        self.upstreams
            .retain(|_, leaving| !is_superseded(&list, leaving));
        if self.upstreams.len() < count {
            actions.push(Action::Leaving);
        }
        let mut urgent = false;
        for upstream in &list.upstreams {
            let leaves = upstream.state == hosts::State::Leaving;
            if leaves && is_live(&before, upstream.upstream) {
                let leaving = Leaving {
                    upstream: upstream.upstream,
                    list: before.version,
                };
                urgent |= self.learn_upstream(leaving, actions);
            }
        }
        if urgent {
            self.spread(actions);
        }
    }

    fn learn_upstream(&mut self, leaving: Leaving, actions: &mut Vec<Action>) -> bool {
        let known = self.upstreams.get(&leaving.upstream);
        let old = known.is_some_and(|known| known.list >= leaving.list);
        let full = known.is_none() && self.upstreams.len() >= MAX_UPSTREAMS;
        if old || full || is_superseded(&self.hosts, &leaving) {
            return false;
        }
        self.upstreams.insert(leaving.upstream, leaving);
        self.upstream_news
            .push(leaving.upstream, self.table.len() + 1);
        actions.push(Action::Leaving);
        true
    }

    /// Sends what is new to a few at once; each who learns it by this does the same.
    fn spread(&mut self, actions: &mut Vec<Action>) {
        let mut targets: Vec<_> = self
            .table
            .iter()
            .filter(|(_, row)| row.claim.health == Health::Alive)
            .map(|(process, row)| (process, row.claim.peer))
            .collect();
        let (chosen, _) = targets.partial_shuffle(&mut self.random, URGENT_FANOUT);
        for (process, to) in chosen {
            let heartbeat = self.heartbeat(Some(*process), false);
            actions.push(Action::Send { to: *to, heartbeat });
        }
    }

    fn heartbeat(&mut self, to: Option<id::Process>, answer: bool) -> Box<Heartbeat> {
        Box::new(Heartbeat {
            phase: self.phase,
            refutation: self.refutation,
            peer: self.own.peer,
            http: self.own.http,
            failure_domain: self.own.failure_domain.clone(),
            config: self.config,
            load: self.load,
            news: self.pick_news(to),
            leaving: self.pick_leaving(),
            answer,
        })
    }

    /// First what the receiver has to refute, then what is fresh, then some at random: many for a receiver that is new.
    fn pick_news(&mut self, to: Option<id::Process>) -> SmallVec<[News; 4]> {
        let accused = to.filter(|&process| self.is_accused(process));
        let mut chosen: SmallVec<[_; MAX_NEWS]> = accused.into_iter().collect();
        for process in self.news.take(MAX_NEWS - chosen.len()) {
            if Some(process) != to {
                chosen.push(process);
            }
        }
        self.frames += 1;
        let repeats = if to.is_none_or(|process| self.news.contains(process)) {
            MAX_NEWS - chosen.len()
        } else {
            usize::from(chosen.is_empty() && self.frames.is_multiple_of(REPEAT_EVERY))
        };
        for _ in 0..repeats.min(self.table.len()) {
            let index = self.random.random_range(0..self.table.len());
            let process = self.table.iter().nth(index).map(|(process, _)| process);
            let new = process.filter(|&process| Some(process) != to && !chosen.contains(&process));
            chosen.extend(new);
        }
        let mut bytes = 0;
        let mut news = SmallVec::new();
        for process in chosen {
            let Some(row) = self.table.get(process) else {
                continue;
            };
            bytes += NEWS_BYTES + row.claim.failure_domain.len();
            if bytes > MAX_NEWS_BYTES {
                break;
            }
            news.push(row.claim.to_news(process));
        }
        news
    }

    fn pick_leaving(&mut self) -> SmallVec<[Leaving; 4]> {
        let chosen = self.upstream_news.take(MAX_LEAVING);
        chosen
            .into_iter()
            .filter_map(|upstream| self.upstreams.get(&upstream).copied())
            .collect()
    }
}

/// Whether a later list than the one that an upstream was last seen live in has it live again, or no more.
fn is_superseded(list: &hosts::List, leaving: &Leaving) -> bool {
    if list.version <= leaving.list {
        return false;
    }
    let upstream = list
        .upstreams
        .iter()
        .find(|upstream| upstream.upstream == leaving.upstream);
    upstream.is_none_or(|upstream| upstream.state == hosts::State::Live)
}

fn is_live(list: &hosts::List, upstream: id::Upstream) -> bool {
    list.upstreams
        .iter()
        .any(|known| known.upstream == upstream && known.state == hosts::State::Live)
}
