//! Client for shard owners: sends a request to the owner of a shard and retries while ownership moves.

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

/// Delay after the first round in which no member answered; it doubles with each further round.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum delay between two rounds.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// How long a member may take to answer before the request is also sent to the next one.
const HEDGE_DELAY: Duration = Duration::from_secs(1);
/// Delay after which a caller may retry when no member answered.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of members that a round sends the request to, in rank order.
const MAX_MEMBERS: usize = 3;

/// Sends requests to shard owners. All requests sent through it must be safe to repeat.
#[derive(Clone, Debug)]
pub struct OwnerClient {
    /// This process.
    pub me: Writer,
    /// The cluster's members.
    pub directory: Arc<dyn Directory>,
    /// Connections to other processes.
    pub peers: Arc<dyn Peers>,
    /// Answers requests for shards that this process owns.
    pub answerer: Answerer,
}

impl OwnerClient {
    /// Sends the request until there is an answer. If a member does not respond, the next ones are asked concurrently, and
    /// the first final answer wins.
    ///
    /// # Errors
    /// Returns the owner's failure, or `NotReady` if no owner answered in time; the request may then have taken effect.
    pub async fn ask(
        &self,
        shard: id::Shard,
        request: Request,
        until: Instant,
    ) -> Result<Vec<Response>, Failure> {
        let mut backoff = INITIAL_BACKOFF;
        let mut open = FuturesUnordered::new();
        let mut unanswered: SmallVec<[Writer; 4]> = SmallVec::new();
        while Instant::now() < until {
            let mut members = self.ranked(shard);
            members.retain(|member| !unanswered.contains(&member.writer));
            let pauses = members.iter().map(|_| HEDGE_DELAY).chain([backoff]);
            let pauses: SmallVec<[Duration; 4]> = pauses.collect();
            let mut members = members.into_iter();
            for pause in pauses {
                if let Some(member) = members.next() {
                    unanswered.push(member.writer);
                    open.push(self.ask_member(member, &request, until));
                }
                let pause = until.min(Instant::now() + pause);
                let answered = time::timeout_at(pause.into(), next_answer(&mut open)).await;
                let Ok((writer, frames)) = answered else {
                    continue;
                };
                unanswered.retain(|other| *other != writer);
                if let Some(answer) = final_answer(frames) {
                    return answer;
                }
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        let message = format!("no process answers for shard {shard}");
        Err(Failure::unknown(Code::NotReady, message)
            .help("ask again; the shard's owner may just be changing")
            .retry_at(SystemTime::now() + RETRY_AFTER))
    }

    /// Returns the customer's pending items over all processes. A process that does not answer counts as zero.
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

    /// Returns the candidate owners of the shard, the most probable one first.
    fn ranked(&self, shard: id::Shard) -> SmallVec<[Member; MAX_MEMBERS]> {
        let members = self.directory.members();
        let ready = members.ready(id::Role::Batch);
        let ranked = rendezvous::rank(ready, Key::Shard(shard));
        ranked.into_iter().take(MAX_MEMBERS).cloned().collect()
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

/// Returns the next answer; never completes if no request is open.
async fn next_answer<F: Future>(open: &mut FuturesUnordered<F>) -> F::Output {
    match open.next().await {
        Some(answer) => answer,
        None => std::future::pending().await,
    }
}

/// Returns the final answer, or `None` if another member has to be asked.
fn final_answer(frames: Result<Vec<Response>, Error>) -> Option<Result<Vec<Response>, Failure>> {
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
