//! Claims of requests that run at most once, at the owner of their work shard. See `docs/design/online.md`.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use smallvec::SmallVec;
use tinbank_base::{
    digest,
    frame::request::{Claimed, Request as Frame, Response},
    id,
    outcome::{Code, Failure},
    peer::{Member, Members},
    record::claim,
};
use tinbank_ledger::placement;
use tinbank_membership::rendezvous;

use crate::{clock, context::Context, request::Request};

/// Longest time that a claim may take; what is left of the caller's time is for the request itself.
const CLAIM_TIME: Duration = Duration::from_secs(5);
/// Longest time that one peer has to answer.
const ASK_TIME: Duration = Duration::from_secs(2);
/// How long the settlement of a claim is tried. After it the owner of the shard settles it as unknown.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Wait before the next try when no peer could answer.
const PAUSE: Duration = Duration::from_millis(100);

/// What becomes of a request with an idempotency key.
#[derive(Debug)]
pub(crate) enum Start {
    /// It is ours to run. What comes of it has to be settled.
    Run(Claim),
    /// It has run before; this is its stored answer.
    Stored(Bytes),
}

/// A claim that was won.
#[derive(Debug)]
pub(crate) struct Claim {
    ctx: Arc<Context>,
    key: claim::Key,
    request: id::Request,
}

/// Claims a request before it is sent.
///
/// # Errors
/// The failure that the caller gets. Nothing was sent to an upstream.
pub(crate) async fn begin(
    ctx: &Arc<Context>,
    request: &Request,
    key: &str,
) -> Result<Start, Failure> {
    let claim = Claim {
        ctx: ctx.clone(),
        key: placement::claim_key(&request.customer.name, key),
        request: request.id,
    };
    let until = request.deadline.min(clock::now() + CLAIM_TIME);
    let frame = Frame::Claim(record(&claim, request));
    match ask(ctx, claim.key, &frame, until).await {
        Some(Response::Claimed(Claimed::Won)) => Ok(Start::Run(claim)),
        Some(Response::Claimed(claimed)) => other(claimed).map(Start::Stored),
        answer => {
            let failure = unclaimed(answer);
            // The claim may have been made all the same: it is freed, so that a resend may run.
            claim.settle(Err(failure.clone()));
            Err(failure)
        }
    }
}

impl Claim {
    /// Stores what came of the request, in the background: the process does not stop before it is done.
    pub(crate) fn settle(self, answer: Result<Bytes, Failure>) {
        let settled = claim::Settled {
            key: self.key,
            claimer: self.ctx.writer,
            request: self.request,
            answer: answer.map_err(claim::Stored::from),
        };
        let (ctx, key, request) = (self.ctx.clone(), self.key, self.request);
        let settle = async move {
            let until = clock::now() + SETTLE_TIME;
            let answer = ask(&ctx, key, &Frame::Settle(settled), until).await;
            if !matches!(answer, Some(Response::Settled(true))) {
                log::warn!(
                    event = "settlement_failed",
                    request = id::format_wide(request).as_str(),
                    answer:? = answer;
                    "the outcome of a claimed request could not be stored; a resend will be told that it is unknown"
                );
            }
        };
        self.ctx.tasks.spawn_on(settle, &self.ctx.traffic);
    }
}

fn record(claim: &Claim, request: &Request) -> claim::Claim {
    let now = SystemTime::now();
    let left = request.deadline.saturating_duration_since(clock::now());
    claim::Claim {
        key: claim.key,
        body: digest::of_fields(&[request.name.as_bytes(), &request.body]),
        claimer: claim.ctx.writer,
        request: request.id,
        deadline: now + left,
        keep_until: now + request.customer.keep_results,
    }
}

/// What the caller gets when the claim went to an earlier request.
fn other(claimed: Claimed) -> Result<Bytes, Failure> {
    match claimed {
        Claimed::Settled(Ok(answer)) => Ok(answer),
        Claimed::Settled(Err(stored)) => Err(stored.into()),
        Claimed::Running => Err(Failure::unknown(
            Code::InProgress,
            "the first request with this idempotency key is still running",
        )
        .help("ask again later with the same key and body")),
        Claimed::OtherBody { .. } => Err(Failure::not_run(
            Code::KeyReused,
            "the idempotency key was used with another service or body",
        )
        .help("use a new key for a new request")),
        Claimed::Unknown | Claimed::Won => Err(Failure::unknown(
            Code::OutcomeUnknown,
            "the first request with this idempotency key was sent, and its outcome can't be learned",
        )),
    }
}

/// Without a claim nothing is sent.
fn unclaimed(answer: Option<Response>) -> Failure {
    let message = match answer {
        Some(Response::Failed { message, .. }) => message,
        _ => "no owner of the work shard could be reached".to_owned(),
    };
    Failure::not_run(
        Code::LogUnavailable,
        format!("the request could not be claimed, so it was not sent: {message}"),
    )
}

/// Asks the owner of a key's shard, as the peers point to it. Asking again is harmless: the claim's request and claimer
/// make it the same. `None` if nobody answered in time.
async fn ask(ctx: &Context, key: claim::Key, frame: &Frame, until: Instant) -> Option<Response> {
    let shard = placement::shard_of_claim(key, ctx.shards);
    loop {
        if let Some(answer) = round(ctx, shard, frame, until).await {
            return Some(answer);
        }
        if clock::now() + PAUSE >= until {
            return None;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Asks members in rank, and those that they name, until one gives a final word.
async fn round(ctx: &Context, shard: id::Shard, frame: &Frame, until: Instant) -> Option<Response> {
    let members = ctx.directory.members();
    let mut waiting = ranked(&members, shard);
    let mut asked: SmallVec<[SocketAddr; 4]> = SmallVec::new();
    while let Some(to) = waiting.pop() {
        if asked.contains(&to) || clock::now() >= until {
            continue;
        }
        asked.push(to);
        let answer_by = until.min(clock::now() + ASK_TIME);
        let Ok(frames) = ctx.peers.ask(to, frame.clone(), answer_by).await else {
            continue;
        };
        match frames.into_iter().last() {
            Some(Response::NotOwner(Some(owner))) => {
                waiting.extend(members.get(owner).map(|member| member.peer));
            }
            Some(Response::NotOwner(None)) | None => {}
            answer => return answer,
        }
    }
    None
}

/// Peer addresses of the batch processes, the most probable owner last.
fn ranked(members: &Members, shard: id::Shard) -> Vec<SocketAddr> {
    let ready = members.ready(id::Role::Batch);
    let ranked: Vec<&Member> = rendezvous::rank(ready, rendezvous::Key::Shard(shard));
    ranked.iter().rev().map(|member| member.peer).collect()
}
