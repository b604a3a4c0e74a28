//! What the state machine takes in and gives out.

use std::{net::SocketAddr, sync::Arc};

use tinbank_base::{
    event,
    frame::heartbeat::{Heartbeat, Leaving, Phase},
    id,
    platform::hosts,
    record::Writer,
};

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
    /// [`TICK`](super::TICK) has passed.
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
    /// Publish [`State::members`](super::State::members): it changed.
    Members,
    /// Publish [`State::leaving`](super::State::leaving): it changed.
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
