//! Which peers are ahead, and what they have.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IteratorRandom as _;
use tinbank_base::{
    frame::{
        heartbeat::{Health, Phase},
        request::{Request, Response},
    },
    id,
    peer::{Directory, Member, Peers},
    platform::log::Entry,
};
use tokio::time;

/// The connection to other processes.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub(super) own: id::Process,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) directory: Arc<dyn Directory>,
}

impl Source {
    /// A peer whose configuration is newer, at random, so that not all ask the same one.
    pub(super) fn ahead(&self, next: id::Offset) -> Option<SocketAddr> {
        let members = self.directory.members();
        members
            .members
            .iter()
            .filter(|member| self.usable(member) && member.config > next)
            .map(|member| member.peer)
            .choose(&mut rand::rng())
    }

    /// The newest configuration of all peers that serve; `None` if there are none.
    pub(super) fn newest(&self) -> Option<id::Offset> {
        let members = self.directory.members();
        members
            .members
            .iter()
            .filter(|member| self.usable(member) && member.phase == Phase::Ready)
            .map(|member| member.config)
            .max()
    }

    /// Asks a peer for what it has from an offset on. No answer is the same as nothing newer: it is asked again.
    pub(super) async fn ask(
        self,
        to: SocketAddr,
        from: id::Offset,
        within: Duration,
    ) -> Vec<Entry> {
        let until = (time::Instant::now() + within).into_std();
        match self.peers.ask(to, Request::Config { from }, until).await {
            Ok(responses) => responses.into_iter().flat_map(entries).collect(),
            Err(error) => {
                log::info!(peer:% = to, error:%; "peer gave no configuration");
                Vec::new()
            }
        }
    }

    fn usable(&self, member: &Member) -> bool {
        let other = member.writer.process != self.own;
        other && matches!(member.health, Health::Alive | Health::Leaving)
    }
}

fn entries(response: Response) -> Vec<Entry> {
    match response {
        Response::Config(entries) => entries,
        _ => Vec::new(),
    }
}
