//! The edge: sockets, clock and random source around the state machine.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use tinbank_base::{
    frame::heartbeat::{Leaving, Phase},
    id,
    peer::{Directory, Members},
    platform::hosts,
};
use tinbank_peer::Endpoint;
use tokio::sync::{mpsc, watch};

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

/// A peer whose configuration is further than ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ahead {
    /// Where to ask it for the entries.
    pub peer: SocketAddr,
    /// Its configuration stream up to before this offset is in force.
    pub config: id::Offset,
}

/// Who is there. Clones share one state.
#[derive(Clone, Debug)]
pub struct Membership {
    view: Arc<ArcSwap<Members>>,
    commands: mpsc::UnboundedSender<Command>,
    members: watch::Receiver<Arc<Members>>,
    ahead: watch::Receiver<Option<Ahead>>,
    leaving: watch::Receiver<Arc<Vec<Leaving>>>,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the control task lands next")]
enum Command {
    Phase(Phase),
    Config(id::Offset),
    Load(u16),
    Hosts(Arc<hosts::List>),
    Leaving(Leaving),
    Leave,
}

impl Membership {
    /// Starts to send and take heartbeats on an endpoint.
    pub fn start(_endpoint: &Endpoint, _settings: Settings) -> Self {
        let (commands, _) = mpsc::unbounded_channel();
        Self {
            view: Arc::default(),
            commands,
            members: watch::channel(Arc::default()).1,
            ahead: watch::channel(None).1,
            leaving: watch::channel(Arc::default()).1,
        }
    }

    /// Says what we are doing; peers hear of it at once.
    pub fn set_phase(&self, phase: Phase) {
        self.command(Command::Phase(phase));
    }

    /// Says how far our configuration is.
    pub fn set_config(&self, next: id::Offset) {
        self.command(Command::Config(next));
    }

    /// Says how busy we are, in per mille.
    pub fn set_load(&self, load: u16) {
        self.command(Command::Load(load));
    }

    /// Takes in the platform's host list.
    pub fn set_hosts(&self, list: Arc<hosts::List>) {
        self.command(Command::Hosts(list));
    }

    /// Passes on the first sign that an upstream leaves.
    pub fn upstream_leaving(&self, leaving: Leaving) {
        self.command(Command::Leaving(leaving));
    }

    /// Tells peers that we leave and stops the heartbeats. Returns once the news is sent.
    pub async fn leave(&self) {
        self.command(Command::Leave);
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

    fn command(&self, command: Command) {
        // The control task ends only with the process.
        let _ = self.commands.send(command);
    }
}

impl Directory for Membership {
    fn members(&self) -> Arc<Members> {
        self.view.load_full()
    }
}
