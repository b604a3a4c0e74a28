//! Asks the owner of a shard, wherever it is, and goes on asking while ownership moves.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use futures::{StreamExt as _, future::join_all, stream::FuturesUnordered};
use smallvec::SmallVec;
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
/// How long a member may be silent before the next one is asked besides it.
const SILENCE: Duration = Duration::from_secs(1);
/// When a caller is told to come back after nobody answered.
const RETRY_AFTER: Duration = Duration::from_secs(2);
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
    /// Asks until there is an answer. A member that is silent does not hold the others up: they are asked besides it,
    /// and the first final word counts.
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
        let mut open = FuturesUnordered::new();
        let mut silent: SmallVec<[Writer; 4]> = SmallVec::new();
        while Instant::now() < until {
            let mut members = self.ranked(shard);
            members.retain(|member| !silent.contains(&member.writer));
            let pauses = members.iter().map(|_| SILENCE).chain([wait]);
            let pauses: SmallVec<[Duration; 4]> = pauses.collect();
            let mut members = members.into_iter();
            for pause in pauses {
                if let Some(member) = members.next() {
                    silent.push(member.writer);
                    open.push(self.ask_member(member, &request, until));
                }
                let pause = until.min(Instant::now() + pause);
                let answered = time::timeout_at(pause.into(), heard(&mut open)).await;
                let Ok((writer, frames)) = answered else {
                    continue;
                };
                silent.retain(|other| *other != writer);
                if let Some(answer) = final_word(frames) {
                    return answer;
                }
            }
            wait = (wait * 2).min(LONGEST_WAIT);
        }
        let message = format!("no process answers for shard {shard}");
        Err(Failure::unknown(Code::NotReady, message)
            .help("ask again; the shard's owner may just be changing")
            .retry_at(SystemTime::now() + RETRY_AFTER))
    }

    /// How many items of a customer are pending at all processes together. One that gives no answer counts as none.
    pub async fn pending(&self, customer: &str, until: Instant) -> u64 {
        let members = self.directory.members();
        let request = Request::Pending {
            customer: customer.to_owned(),
        };
        let ready = members.ready(id::Role::Batch);
        let answers = ready.map(|member| self.ask_member(member.clone(), &request, until));
        let answers = join_all(answers).await.into_iter();
        let items = answers.map(|(_, frames)| frames.ok().and_then(|mut frames| frames.pop()));
        items
            .map(|last| match last {
                Some(Response::Pending(items)) => items,
                _ => 0,
            })
            .sum()
    }

    /// Those that may know, the most probable owner first.
    fn ranked(&self, shard: id::Shard) -> SmallVec<[Member; ASKED]> {
        let members = self.directory.members();
        let ready = members.ready(id::Role::Batch);
        let ranked = rendezvous::rank(ready, Key::Shard(shard));
        ranked.into_iter().take(ASKED).cloned().collect()
    }

    async fn ask_member(
        &self,
        member: Member,
        request: &Request,
        until: Instant,
    ) -> (Writer, Result<Vec<Response>, Error>) {
        let to = member.peer;
        if member.writer != self.me {
            return (
                member.writer,
                self.peers.ask(to, request.clone(), until).await,
            );
        }
        let answer = async { self.answerer.ask(request.clone()).await.collect().await };
        let answer = time::timeout_at(until.into(), answer).await;
        let late = |_| Error::Lost {
            to,
            reason: "no answer in time".to_owned(),
        };
        (member.writer, answer.map_err(late))
    }
}

/// The next answer of those that were asked; never ends when there are none.
async fn heard<F: Future>(open: &mut FuturesUnordered<F>) -> F::Output {
    match open.next().await {
        Some(answer) => answer,
        None => std::future::pending().await,
    }
}

/// What an answer settles; `None` if another member has to be asked.
fn final_word(frames: Result<Vec<Response>, Error>) -> Option<Result<Vec<Response>, Failure>> {
    let frames = frames.ok()?;
    match frames.last()? {
        Response::NotOwner(_) => None,
        Response::Failed { code, ran, message } => Some(Err(Failure {
            ran: *ran,
            ..Failure::not_run(*code, message.clone())
        })),
        _ => Some(Ok(frames)),
    }
}
