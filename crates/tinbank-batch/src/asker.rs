//! Asks the owner of a shard, wherever it is, and goes on asking while ownership moves.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::StreamExt as _;
use tinbank_base::{
    frame::request::{Request, Response},
    id,
    outcome::{Code, Failure},
    peer::{Directory, Error, Member, Peers},
    record::Writer,
};
use tinbank_membership::rendezvous::{self, Key};
use tokio::time;

use crate::owner::answer::Answerer;

/// Wait after all that may know were asked in vain; it doubles with each further round.
const FIRST_WAIT: Duration = Duration::from_millis(20);
/// Longest wait between two rounds.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Time that one member has: one that lags must not use up the time of the next, and all may be asked again.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(3);
/// Members in rank that are asked in each round.
const ASKED: usize = 3;

/// Asks owners of shards. All its requests may be repeated.
#[derive(Clone, Debug)]
pub struct Asker {
    /// Who we are.
    pub me: Writer,
    /// Who is there.
    pub directory: Arc<dyn Directory>,
    /// Reaches the others.
    pub peers: Arc<dyn Peers>,
    /// Answers when we are the one to ask.
    pub answerer: Answerer,
}

impl Asker {
    /// Asks until there is an answer.
    ///
    /// # Errors
    /// What the owner said, or that none could be asked in time; then the request may have taken effect.
    pub async fn ask(
        &self,
        shard: id::Shard,
        request: Request,
        until: Instant,
    ) -> Result<Vec<Response>, Failure> {
        let mut wait = FIRST_WAIT;
        loop {
            if let Some(answer) = self.round(shard, &request, until).await {
                return answer;
            }
            if Instant::now() + wait >= until {
                let message = format!("no process answers for shard {shard}");
                return Err(Failure::unknown(Code::NotReady, message)
                    .help("ask again; the shard's owner may just be changing"));
            }
            time::sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    async fn round(
        &self,
        shard: id::Shard,
        request: &Request,
        until: Instant,
    ) -> Option<Result<Vec<Response>, Failure>> {
        let members = self.directory.members();
        let ready = members.ready(id::Role::Batch);
        let ranked = rendezvous::rank(ready, Key::Shard(shard));
        for member in ranked.into_iter().take(ASKED) {
            let frames = self.ask_member(member, request, until).await;
            match frames.as_deref().map(<[Response]>::last) {
                Ok(None | Some(Response::Elsewhere(_))) | Err(_) => {}
                Ok(Some(Response::Failed { code, ran, message })) => {
                    let failure = Failure {
                        ran: *ran,
                        ..Failure::not_run(*code, message.clone())
                    };
                    return Some(Err(failure));
                }
                Ok(Some(_)) => return frames.ok().map(Ok),
            }
        }
        None
    }

    async fn ask_member(
        &self,
        member: &Member,
        request: &Request,
        until: Instant,
    ) -> Result<Vec<Response>, Error> {
        let to = member.peer;
        let until = until.min(Instant::now() + MEMBER_TIMEOUT);
        if member.writer != self.me {
            return self.peers.ask(to, request.clone(), until).await;
        }
        let answer = async { self.answerer.ask(request.clone()).await.collect().await };
        time::timeout_at(until.into(), answer)
            .await
            .map_err(|_| Error::Lost {
                to,
                reason: "no answer in time".to_owned(),
            })
    }
}
