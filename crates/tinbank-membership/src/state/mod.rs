//! The state machine of membership: it handles events and returns actions. It is deterministic for a given seed and
//! does no I/O.
//!
//! [`probe`] detects failures, [`receive`] applies heartbeats, [`upstream`] tracks leaving upstreams, and [`send`]
//! creates heartbeats. See `docs/design/membership.md`.

mod event;
mod probe;
mod receive;
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

pub use self::event::{Action, Ahead, Event, LocalProcess};
use crate::{gossip::Queue, probe::Probes, table::Table};

/// Interval between ticks, each of which sends one probe.
pub const TICK: Duration = Duration::from_millis(600);
/// Maximum number of updates about processes that wait to be sent.
const MAX_PENDING_UPDATES: usize = 512;

/// The membership state of one process.
#[derive(Clone, Debug)]
pub struct State {
    own: LocalProcess,
    refutation: u32,
    phase: Phase,
    config: id::Offset,
    load: u16,
    seeds: Vec<SocketAddr>,
    hosts: Arc<hosts::List>,
    table: Table,
    probes: Probes,
    pending_updates: Queue<id::Process>,
    upstreams: BTreeMap<id::Upstream, Leaving>,
    pending_upstreams: Queue<id::Upstream>,
    ahead: Option<Ahead>,
    /// Processes still to probe in this round, in which each is probed once.
    probe_round: Vec<id::Process>,
    ticks: u64,
    frames: u64,
    last_tick: Instant,
    random: SmallRng,
}

impl State {
    /// Creates a state that knows only the local process and the seeds. `seed` determines all random choices.
    pub fn new(own: LocalProcess, seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> Self {
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
            pending_updates: Queue::new(MAX_PENDING_UPDATES),
            upstreams: BTreeMap::new(),
            pending_upstreams: Queue::new(upstream::MAX_UPSTREAMS),
            ahead: None,
            probe_round: Vec::new(),
            ticks: 0,
            frames: 0,
            last_tick: now,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Heartbeat { from, heartbeat } => {
                self.on_heartbeat(from, *heartbeat, now, &mut actions)
            }
            Event::Phase(phase) => self.set_phase(phase, &mut actions),
            Event::Config(config) => self.set_config(config, &mut actions),
            Event::Load(load) => self.load = load,
            Event::Hosts(list) => self.set_hosts(list, now, &mut actions),
            Event::UpstreamLeaving(leaving) => {
                if self.apply_leaving_upstream(leaving, &mut actions) {
                    self.send_urgent(&mut actions);
                }
            }
        }
        actions
    }

    /// Returns all known members including the local one, ordered by process.
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

    /// Returns the leaving upstreams, as reported by peers or locally.
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
        self.send_urgent(actions);
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
            .filter(|(_, row)| matches!(row.record.health, Health::Alive | Health::Leaving))
            .max_by_key(|(_, row)| row.config);
        let ahead = furthest.map(|(_, row)| Ahead {
            peer: row.record.peer,
            config: row.config,
        });
        if ahead != self.ahead {
            self.ahead = ahead;
            actions.push(Action::Ahead(ahead));
        }
    }
}
