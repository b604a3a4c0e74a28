//! The edge: sockets, clock and random source around the state machine.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use arc_swap::ArcSwap;
use tinbank_base::{
    event::Subject,
    frame::heartbeat::{Health, Leaving, Phase},
    id,
    peer::{Directory, Members},
    platform::hosts,
};
use tinbank_peer::{Endpoint, ReceivedHeartbeat};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::state::{Action, Ahead, Event, Own, State, TICK};

/// What membership needs to know of its own process. Who we are and where we take frames is the endpoint's.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where we take HTTP requests.
    pub http: SocketAddr,
    /// Where we stand.
    pub failure_domain: id::FailureDomain,
    /// Peers to ask first; the platform's host list adds to them.
    pub seeds: Vec<SocketAddr>,
}

/// Who is there. Clones share one state; it lives until the last clone is gone or the endpoint closes.
#[derive(Clone, Debug)]
pub struct Membership {
    view: Arc<ArcSwap<Members>>,
    commands: mpsc::UnboundedSender<Command>,
    members: watch::Receiver<Arc<Members>>,
    ahead: watch::Receiver<Option<Ahead>>,
    leaving: watch::Receiver<Arc<Vec<Leaving>>>,
}

#[derive(Debug)]
enum Command {
    Event(Event),
    /// Tells once all commands before it have been carried out.
    Flush(oneshot::Sender<()>),
}

impl Membership {
    /// Starts to send and take heartbeats on an endpoint, on the current runtime.
    ///
    /// The endpoint gives its heartbeats to one membership only; a second one would hear nothing.
    pub fn start(endpoint: &Endpoint, settings: Settings) -> Self {
        let own = Own {
            writer: endpoint.writer(),
            peer: endpoint.address(),
            http: settings.http,
            failure_domain: settings.failure_domain,
        };
        let state = State::new(own, settings.seeds, rand::random(), Instant::now());
        let first = Arc::new(state.members());
        let view = Arc::new(ArcSwap::new(first.clone()));
        let (commands, receiver) = mpsc::unbounded_channel();
        let (members_sender, members) = watch::channel(first);
        let (ahead_sender, ahead) = watch::channel(None);
        let (leaving_sender, leaving) = watch::channel(Arc::default());
        let task = Task {
            state,
            endpoint: endpoint.clone(),
            view: view.clone(),
            members: members_sender,
            ahead: ahead_sender,
            leaving: leaving_sender,
        };
        tokio::spawn(task.run(receiver));
        Self {
            view,
            commands,
            members,
            ahead,
            leaving,
        }
    }

    /// Says what we are doing; peers hear of it at once. Phases only move forward.
    pub fn set_phase(&self, phase: Phase) {
        self.event(Event::Phase(phase));
    }

    /// Says how far our configuration is.
    pub fn set_config(&self, next: id::Offset) {
        self.event(Event::Config(next));
    }

    /// Says how busy we are, in per mille.
    pub fn set_load(&self, load: u16) {
        self.event(Event::Load(load));
    }

    /// Takes in the platform's host list.
    pub fn set_hosts(&self, list: Arc<hosts::List>) {
        self.event(Event::Hosts(list));
    }

    /// Passes on the first sign that an upstream leaves.
    pub fn upstream_leaving(&self, leaving: Leaving) {
        self.event(Event::UpstreamLeaving(leaving));
    }

    /// Tells peers that we leave, and returns once the news is sent. Heartbeats go on until the endpoint closes, so
    /// that nobody takes a process that finishes its streams for a dead one.
    pub async fn leave(&self) {
        self.set_phase(Phase::Leaving);
        let (done, flushed) = oneshot::channel();
        // Without the task there is nobody left to tell.
        let _ = self.commands.send(Command::Flush(done));
        let _ = flushed.await;
    }

    /// The members, as they change.
    pub fn watch(&self) -> watch::Receiver<Arc<Members>> {
        self.members.clone()
    }

    /// The peer whose configuration is furthest ahead of ours, as long as one is.
    pub fn ahead(&self) -> watch::Receiver<Option<Ahead>> {
        self.ahead.clone()
    }

    /// Upstreams that peers or we have seen leaving.
    pub fn leaving(&self) -> watch::Receiver<Arc<Vec<Leaving>>> {
        self.leaving.clone()
    }

    fn event(&self, event: Event) {
        // The task ends only with the endpoint.
        let _ = self.commands.send(Command::Event(event));
    }
}

impl Directory for Membership {
    fn members(&self) -> Arc<Members> {
        self.view.load_full()
    }
}

struct Task {
    state: State,
    endpoint: Endpoint,
    view: Arc<ArcSwap<Members>>,
    members: watch::Sender<Arc<Members>>,
    ahead: watch::Sender<Option<Ahead>>,
    leaving: watch::Sender<Arc<Vec<Leaving>>>,
}

impl Task {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let Some(mut heard) = self.endpoint.heartbeats() else {
            log::error!(event = "second_membership"; "an endpoint was given a second membership");
            return;
        };
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                heard = heard.recv() => match heard {
                    Some(ReceivedHeartbeat { from, heartbeat }) => Event::Heard { from, heartbeat: Box::new(heartbeat) },
                    None => return,
                },
                command = commands.recv() => match command {
                    Some(Command::Event(event)) => event,
                    Some(Command::Flush(done)) => {
                        // Whoever asked may have gone.
                        let _ = done.send(());
                        continue;
                    }
                    None => return,
                },
            };
            let actions = self.state.handle(event, Instant::now());
            self.perform(actions);
        }
    }

    fn perform(&self, actions: Vec<Action>) {
        let mut members = false;
        let mut leaving = false;
        for action in actions {
            match action {
                Action::Send { to, heartbeat } => {
                    self.endpoint.send_heartbeat(to, *heartbeat);
                }
                Action::Members => members = true,
                Action::Leaving => leaving = true,
                Action::Ahead(ahead) => {
                    self.ahead.send_replace(ahead);
                }
                Action::Note { process, kind } => {
                    log::info!(event = "member", member:% = process, now:? = kind; "");
                    let subject = Subject {
                        peer: Some(process),
                        ..Subject::default()
                    };
                    self.endpoint.clock().note(subject, kind);
                }
            }
        }
        if members {
            self.publish();
        }
        if leaving {
            self.leaving.send_replace(Arc::new(self.state.leaving()));
        }
    }

    fn publish(&self) {
        let members = Arc::new(self.state.members());
        for health in [
            Health::Alive,
            Health::Suspect,
            Health::Leaving,
            Health::Dead,
        ] {
            let label = match health {
                Health::Alive => "alive",
                Health::Suspect => "suspect",
                Health::Leaving => "leaving",
                Health::Dead => "dead",
            };
            let count = members
                .members
                .iter()
                .filter(|m| m.health == health)
                .count();
            metrics::gauge!("tinbank_members", "health" => label).set(count as f64);
        }
        self.view.store(members.clone());
        self.members.send_replace(members);
    }
}
