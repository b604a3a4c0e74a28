//! Drives the state machine with an endpoint, a clock and a random seed.

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

use crate::state::{Action, Ahead, Event, LocalProcess, State, TICK};

/// Settings of the local process. Its identity and peer address are the endpoint's.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the local HTTP server.
    pub http: SocketAddr,
    pub failure_domain: id::FailureDomain,
    /// Addresses of peers to contact first; the platform's host list adds more.
    pub seeds: Vec<SocketAddr>,
}

/// A handle to the membership of the local process. Clones share one state, which runs until the last clone is dropped
/// or the endpoint closes.
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
    /// Notifies the sender once all previous commands are done.
    Flush(oneshot::Sender<()>),
}

impl Membership {
    /// Starts to send and receive heartbeats on an endpoint, on the current runtime.
    ///
    /// An endpoint delivers its heartbeats to one membership only; a second one receives none.
    pub fn start(endpoint: &Endpoint, settings: Settings) -> Self {
        let own = LocalProcess {
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

    /// Sets the local phase and sends it to peers immediately. An earlier phase than the current one is ignored.
    pub fn set_phase(&self, phase: Phase) {
        self.event(Event::Phase(phase));
    }

    /// Sets the local configuration offset.
    pub fn set_config(&self, next: id::Offset) {
        self.event(Event::Config(next));
    }

    /// Sets the local load, in per mille.
    pub fn set_load(&self, load: u16) {
        self.event(Event::Load(load));
    }

    /// Merges the platform's host list.
    pub fn set_hosts(&self, list: Arc<hosts::List>) {
        self.event(Event::Hosts(list));
    }

    /// Reports to all peers that an upstream leaves.
    pub fn upstream_leaving(&self, leaving: Leaving) {
        self.event(Event::UpstreamLeaving(leaving));
    }

    /// Notifies peers that this process leaves, and returns once the updates are sent. Heartbeats continue until the
    /// endpoint closes, so that a process that finishes its streams is not considered dead.
    pub async fn leave(&self) {
        self.set_phase(Phase::Leaving);
        let (done, flushed) = oneshot::channel();
        // Fails only if the task has ended, and then there is nothing to flush.
        let _ = self.commands.send(Command::Flush(done));
        let _ = flushed.await;
    }

    /// Subscribes to the members.
    pub fn watch(&self) -> watch::Receiver<Arc<Members>> {
        self.members.clone()
    }

    /// Subscribes to the peer whose configuration is furthest ahead of the local one, if any is.
    pub fn ahead(&self) -> watch::Receiver<Option<Ahead>> {
        self.ahead.clone()
    }

    /// Subscribes to the leaving upstreams, as reported by peers or locally.
    pub fn leaving(&self) -> watch::Receiver<Arc<Vec<Leaving>>> {
        self.leaving.clone()
    }

    fn event(&self, event: Event) {
        // Fails only if the endpoint has closed.
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
        let Some(mut heartbeats) = self.endpoint.heartbeats() else {
            log::error!(event = "second_membership"; "the endpoint already has a membership; this one receives no heartbeats");
            return;
        };
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                heartbeats = heartbeats.recv() => match heartbeats {
                    Some(ReceivedHeartbeat { from, heartbeat }) => Event::Heartbeat { from, heartbeat: Box::new(heartbeat) },
                    None => return,
                },
                command = commands.recv() => match command {
                    Some(Command::Event(event)) => event,
                    Some(Command::Flush(done)) => {
                        // The receiver may have been dropped.
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
