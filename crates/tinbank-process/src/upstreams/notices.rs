//! What peers know of leaving upstreams, for a process that starts.
//!
//! Peers gossip a notice for some seconds after it is new. A process that starts later would take the upstream for live as long as
//! the host list lags, so it asks before it is ready. See `docs/design/readiness.md`.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use futures::{StreamExt as _, future::join_all, stream, stream::BoxStream};
use rand::seq::SliceRandom as _;
use smallvec::SmallVec;
use tinbank_base::{
    frame::{
        credit, demand,
        request::{Notices, Request, Response},
    },
    id,
    peer::{Answer, Peers},
    platform::hosts::List,
    record::Writer,
};
use tinbank_routing::Table;
use tinbank_server::readiness::{Flag, State};
use tokio::time;

use crate::{
    hosts::Watch,
    ready::{Checklist, Requirement},
};

/// Peers that are asked at a time.
const PEERS_AT_ONCE: usize = 4;
/// Most peers that are asked. If none of so many has started, the whole fleet starts, and nobody has notices.
const MAX_PEERS: usize = 12;
/// Time after which the process gets ready without an answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Answers which upstreams are leaving by the routing table of this process, and passes on all other requests.
pub(crate) struct Answerer {
    pub table: Table,
    pub ready: Flag,
    pub inner: Arc<dyn Answer>,
}

#[async_trait]
impl Answer for Answerer {
    async fn answer(&self, from: Writer, request: Request) -> BoxStream<'static, Response> {
        if request != Request::LeavingUpstreams {
            return self.inner.answer(from, request).await;
        }
        let notices = Notices {
            started: self.ready.state() != State::Starting,
            notices: self.table.notices(now()),
        };
        stream::iter([Response::LeavingUpstreams(notices)]).boxed()
    }

    fn on_credit(&self, from: Writer, message: credit::Message) {
        self.inner.on_credit(from, message);
    }

    fn on_demand(&self, from: Writer, message: demand::Message) {
        self.inner.on_demand(from, message);
    }
}

/// The peers of a process that starts.
#[derive(Debug)]
pub(super) struct Source {
    pub own: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub peers: Arc<dyn Peers>,
}

/// Requests the notices of peers once the host list is known, and completes the requirement.
pub(super) async fn fetch(source: Source, mut lists: Watch, table: Table, checklist: Checklist) {
    let candidates = match lists.wait_for(Option::is_some).await {
        Ok(list) => source.candidates(list.as_deref()),
        Err(_) => return,
    };
    let count = candidates.len();
    match time::timeout(TIMEOUT, source.request_any(&candidates, &table)).await {
        Ok(true) => {}
        Ok(false) => {
            log::info!(event = "no_notices", peers = count; "no peer that has started answered which upstreams leave")
        }
        Err(_) => {
            log::warn!(event = "no_notices", peers = count; "peers did not answer in time which upstreams leave")
        }
    }
    checklist.complete(Requirement::Notices);
}

impl Source {
    /// Returns the peers to ask, in random order, so that many processes that start spread over all peers.
    fn candidates(&self, list: Option<&List>) -> Vec<SocketAddr> {
        let members = list.into_iter().flat_map(|it| &it.members);
        let members = members.filter(|it| it.process.role != id::Role::Fleet);
        let mut candidates: Vec<_> = members.map(|it| it.peer).collect();
        candidates.extend(&self.seeds);
        candidates.sort_unstable();
        candidates.dedup();
        candidates.retain(|it| *it != self.own);
        candidates.shuffle(&mut rand::rng());
        candidates.truncate(MAX_PEERS);
        candidates
    }

    /// Requests the notices of some peers at a time until one that has started answers. Returns whether one did.
    async fn request_any(&self, candidates: &[SocketAddr], table: &Table) -> bool {
        for some in candidates.chunks(PEERS_AT_ONCE) {
            let answers = join_all(some.iter().map(|it| self.request(*it))).await;
            let answers: SmallVec<[Notices; PEERS_AT_ONCE]> =
                answers.into_iter().flatten().collect();
            for notice in answers.iter().flat_map(|it| &it.notices) {
                log::info!(event = "notice", upstream = notice.leaving.upstream, expires_in_ms = notice.expires_in.as_millis() as u64; "upstream leaves, according to a peer");
                table.apply_notice(*notice, now());
            }
            if answers.iter().any(|it| it.started) {
                return true;
            }
        }
        false
    }

    async fn request(&self, peer: SocketAddr) -> Option<Notices> {
        let until = now() + ANSWER_TIMEOUT;
        let request = Request::LeavingUpstreams;
        match self.peers.ask(peer, request, until).await {
            Ok(responses) => responses.into_iter().find_map(|it| match it {
                Response::LeavingUpstreams(notices) => Some(notices),
                _ => None,
            }),
            Err(error) => {
                log::info!(event = "notices_failed", peer:%, error:%; "peer did not answer which upstreams leave");
                None
            }
        }
    }
}

fn now() -> Instant {
    time::Instant::now().into_std()
}
