//! Events and actions of the state machine.

use std::{net::SocketAddr, sync::Arc};

use tinbank_base::{
    event,
    frame::heartbeat::{Heartbeat, Leaving, Phase},
    id,
    platform::hosts,
    record::Writer,
};

/// The local process.
#[derive(Clone, Debug)]
pub struct LocalProcess {
    pub writer: Writer,
    /// Address for frames from peers.
    pub peer: SocketAddr,
    /// Address of the HTTP server.
    pub http: SocketAddr,
    pub failure_domain: id::FailureDomain,
}

/// An event to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`TICK`](super::TICK) has passed.
    Tick,
    /// A heartbeat was received.
    Heartbeat {
        /// The sender.
        from: Writer,
        /// The received heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// The local process has entered a phase.
    Phase(Phase),
    /// The local configuration is active up to before this offset.
    Config(id::Offset),
    /// The local load, in per mille.
    Load(u16),
    /// The platform's host list was read.
    Hosts(Arc<hosts::List>),
    /// The local process detected that an upstream leaves.
    UpstreamLeaving(Leaving),
}

/// An action to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat.
    Send {
        /// The receiver's peer address.
        to: SocketAddr,
        /// The heartbeat to send.
        heartbeat: Box<Heartbeat>,
    },
    /// Publish [`State::members`](super::State::members): it changed.
    Members,
    /// Publish [`State::leaving`](super::State::leaving): it changed.
    Leaving,
    /// Publish the peer whose configuration is ahead, if any is.
    Ahead(Option<Ahead>),
    /// Record a timeline event about another process.
    Note {
        /// The other process.
        process: id::Process,
        /// The event.
        kind: event::Kind,
    },
}

/// A peer whose configuration is ahead of the local one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ahead {
    /// Address to request the missing entries from.
    pub peer: SocketAddr,
    /// The peer's configuration is active up to before this offset.
    pub config: id::Offset,
}
