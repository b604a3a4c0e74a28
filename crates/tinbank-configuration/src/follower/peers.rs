//! Requests newer configuration entries from peers.

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

/// Access to the other processes.
#[derive(Clone, Debug)]
pub(super) struct PeerSource {
    pub(super) own: id::Process,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) directory: Arc<dyn Directory>,
}

impl PeerSource {
    /// Returns a random peer with a newer configuration. Random choice spreads the requests of many processes.
    pub(super) fn choose_newer(&self, next: id::Offset) -> Option<SocketAddr> {
        let members = self.directory.members();
        members
            .members
            .iter()
            .filter(|member| self.is_usable(member) && member.config > next)
            .map(|member| member.peer)
            .choose(&mut rand::rng())
    }

    /// Returns the newest offset among the peers that are ready; `None` if there are none.
    pub(super) fn newest_ready_offset(&self) -> Option<id::Offset> {
        let members = self.directory.members();
        members
            .members
            .iter()
            .filter(|member| self.is_usable(member) && member.phase == Phase::Ready)
            .map(|member| member.config)
            .max()
    }

    /// Requests the entries from an offset on from a peer. Returns none if it does not answer; the caller retries at its
    /// next check.
    pub(super) async fn request_entries(
        self,
        to: SocketAddr,
        from: id::Offset,
        timeout: Duration,
    ) -> Vec<Entry> {
        let deadline = (time::Instant::now() + timeout).into_std();
        match self.peers.ask(to, Request::Config { from }, deadline).await {
            Ok(responses) => responses.into_iter().flat_map(into_entries).collect(),
            Err(error) => {
                log::info!(peer:% = to, error:%; "peer did not send configuration entries");
                Vec::new()
            }
        }
    }

    fn is_usable(&self, member: &Member) -> bool {
        let is_peer = member.writer.process != self.own;
        is_peer && matches!(member.health, Health::Alive | Health::Leaving)
    }
}

fn into_entries(response: Response) -> Vec<Entry> {
    match response {
        Response::Config(entries) => entries,
        _ => Vec::new(),
    }
}
