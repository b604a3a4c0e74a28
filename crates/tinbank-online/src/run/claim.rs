//! Claims requests that run at most once, at the owner of their work shard. See `docs/design/online.md`.

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

/// Timeout of a claim, which leaves the rest of the caller's time for the request itself.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Response timeout of one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long settling a claim is retried. Afterwards the owner of the shard settles it as unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the next attempt when no peer gave a final answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of claiming a request.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// The request is to be run here, and its result settled.
    Won(Claim),
    /// The request has run before; this is its stored answer.
    Stored(Bytes),
}

/// A claim held by this process.
#[derive(Debug)]
pub(crate) struct Claim {
    ctx: Arc<Context>,
    key: claim::Key,
    request: id::Request,
}

/// Claims a request before it is sent.
///
/// # Errors
/// The failure to return to the caller. Nothing was sent to an upstream.
pub(crate) async fn acquire(
    ctx: &Arc<Context>,
    request: &Request,
    key: &str,
) -> Result<ClaimOutcome, Failure> {
    let claim = Claim {
        ctx: ctx.clone(),
        key: placement::claim_key(&request.customer.name, key),
        request: request.id,
    };
    let until = request.deadline.min(clock::now() + CLAIM_TIMEOUT);
    let frame = Frame::Claim(claim_record(&claim, request));
    match ask_owner(ctx, claim.key, &frame, until).await {
        Some(Response::Claimed(Claimed::Won)) => Ok(ClaimOutcome::Won(claim)),
        Some(Response::Claimed(claimed)) => earlier_outcome(claimed).map(ClaimOutcome::Stored),
        answer => {
            let failure = claim_failure(answer);
            // The claim may have been stored although its answer was lost: release it, so that a retry may run.
            claim.settle(Err(failure.clone()));
            Err(failure)
        }
    }
}

impl Claim {
    /// Stores the result of the request in the background. The process does not stop before this is done.
    pub(crate) fn settle(self, answer: Result<Bytes, Failure>) {
        let settled = claim::Settled {
            key: self.key,
            claimer: self.ctx.writer,
            request: self.request,
            answer: answer.map_err(claim::Stored::from),
        };
        let (ctx, key, request) = (self.ctx.clone(), self.key, self.request);
        let settle = async move {
            let until = clock::now() + SETTLE_TIMEOUT;
            let answer = ask_owner(&ctx, key, &Frame::Settle(settled), until).await;
            if !matches!(answer, Some(Response::Settled(true))) {
                log::warn!(
                    event = "settlement_failed",
                    request = id::format_wide(request).as_str(),
                    answer:? = answer;
                    "the outcome of a claimed request could not be stored; a retry gets an unknown outcome"
                );
            }
        };
        self.ctx.tasks.spawn_on(settle, &self.ctx.traffic);
    }
}

fn claim_record(claim: &Claim, request: &Request) -> claim::Claim {
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

/// Returns the answer for a request whose key was claimed by an earlier request.
fn earlier_outcome(claimed: Claimed) -> Result<Bytes, Failure> {
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

/// Returns the failure for a request that could not be claimed.
fn claim_failure(answer: Option<Response>) -> Failure {
    let message = match answer {
        Some(Response::Failed { message, .. }) => message,
        _ => "no owner of the work shard could be reached".to_owned(),
    };
    Failure::not_run(
        Code::LogUnavailable,
        format!("the request could not be claimed, so it was not sent: {message}"),
    )
}

/// Sends a frame to the owner of a key's shard until it answers. Claims are idempotent by request id and claimer, so
/// repeats are safe. Returns `None` if there was no final answer in time.
async fn ask_owner(
    ctx: &Context,
    key: claim::Key,
    frame: &Frame,
    until: Instant,
) -> Option<Response> {
    let shard = placement::shard_of_claim(key, ctx.shards);
    loop {
        if let Some(answer) = ask_members(ctx, shard, frame, until).await {
            return Some(answer);
        }
        if clock::now() + RETRY_INTERVAL >= until {
            return None;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Asks the shard's candidate owners in order of rank, and the owners that they name, until one gives a final answer.
async fn ask_members(
    ctx: &Context,
    shard: id::Shard,
    frame: &Frame,
    until: Instant,
) -> Option<Response> {
    let members = ctx.directory.members();
    let mut waiting = owner_candidates(&members, shard);
    let mut contacted: SmallVec<[SocketAddr; 4]> = SmallVec::new();
    while let Some(to) = waiting.pop() {
        if contacted.contains(&to) || clock::now() >= until {
            continue;
        }
        contacted.push(to);
        let answer_by = until.min(clock::now() + PEER_TIMEOUT);
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

/// Returns the peer addresses of the batch processes, the most likely owner last.
fn owner_candidates(members: &Members, shard: id::Shard) -> Vec<SocketAddr> {
    let ready = members.ready(id::Role::Batch);
    let ranked: Vec<&Member> = rendezvous::rank(ready, rendezvous::Key::Shard(shard));
    ranked.iter().rev().map(|member| member.peer).collect()
}
