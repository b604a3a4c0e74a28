//! A fake network between the hosts, with one membership view shared by all.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Instant,
};

use async_trait::async_trait;
use futures::StreamExt as _;
use tinbank_base::{
    frame::{
        credit, demand,
        heartbeat::{Health, Phase},
        request::{Request, Response},
    },
    peer::{Directory, Error, Member, Members, Peers},
    record::Writer,
};
use tinbank_batch::owner::answer::Answerer;

#[derive(Clone, Debug, Default)]
pub struct Net {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    members: Arc<Members>,
    answerers: HashMap<SocketAddr, Answerer>,
}

impl Net {
    pub fn join(&self, member: Member, answerer: Answerer) {
        let mut state = self.state.lock().unwrap();
        state.answerers.insert(member.peer, answerer);
        let mut members = state.members.members.clone();
        members.push(member);
        state.members = Arc::new(Members { members });
    }

    /// Marks the host as dead for all hosts and disconnects it.
    pub fn mark_dead(&self, writer: Writer) {
        self.change(writer, |member| member.health = Health::Dead);
        let mut state = self.state.lock().unwrap();
        let members = state.members.clone();
        let lost = members
            .members
            .iter()
            .find(|member| member.writer == writer);
        state.answerers.remove(&lost.unwrap().peer);
    }

    /// Marks the host as leaving for all hosts.
    pub fn leave(&self, writer: Writer) {
        self.change(writer, |member| member.phase = Phase::Leaving);
    }

    fn change(&self, writer: Writer, change: impl Fn(&mut Member)) {
        let mut state = self.state.lock().unwrap();
        let mut members = state.members.members.clone();
        let of_writer = members.iter_mut().filter(|member| member.writer == writer);
        of_writer.for_each(change);
        state.members = Arc::new(Members { members });
    }
}

#[async_trait]
impl Peers for Net {
    async fn ask(
        &self,
        to: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<Vec<Response>, Error> {
        let answerer = self.state.lock().unwrap().answerers.get(&to).cloned();
        let answerer = answerer.ok_or(Error::Connect(to))?;
        let answer = async { answerer.ask(request).await.collect().await };
        tokio::time::timeout_at(until.into(), answer)
            .await
            .map_err(|_| Error::Lost {
                to,
                reason: "timeout".to_owned(),
            })
    }

    fn send_credit(&self, _to: SocketAddr, _message: credit::Message) {}

    fn send_demand(&self, _to: SocketAddr, _message: demand::Message) {}
}

#[derive(Debug)]
pub struct NetDirectory(pub Net);

impl Directory for NetDirectory {
    fn members(&self) -> Arc<Members> {
        self.0.state.lock().unwrap().members.clone()
    }
}
