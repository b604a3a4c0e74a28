//! The state machine: events in, actions out. It reads no clock and draws nothing but from the seed it was given.
//!
//! [`probe`] asks for signs of life, [`learn`] takes in what others say, [`upstream`] keeps the upstreams that leave,
//! and [`send`] writes heartbeats. See `docs/design/membership.md`.

mod event;
mod learn;
mod probe;
mod send;
mod upstream;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use tinbank_base::{
    frame::heartbeat::{Health, Leaving, Phase},
    id,
    peer::{Member, Members},
    platform::hosts,
};

pub use self::event::{Action, Ahead, Event, Own};
use crate::{gossip::Queue, probe::Probes, table::Table};

/// Time between ticks: each sends one probe.
pub const TICK: Duration = Duration::from_millis(600);
/// Pieces of news that wait to be passed on.
const MAX_QUEUE: usize = 512;

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
            upstream_news: Queue::new(upstream::MAX_UPSTREAMS),
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
}
