//! Answers requests from peers and from this process's HTTP interface.

use std::sync::Arc;

use async_trait::async_trait;
use futures::{
    StreamExt as _,
    stream::{self, BoxStream},
};
use tinbank_base::{
    frame::{
        credit,
        request::{Request, Response},
    },
    id,
    outcome::{Code, Ran},
    peer::Answer,
    platform::log::{Log, Stream},
    record::Writer,
};
use tinbank_configuration::follower::Follower;
use tokio::sync::{mpsc, oneshot};

use super::{
    Owner, OwnerRequest,
    results::{self, Wanted},
    shard::failed,
};

/// Maximum frames of an answer buffered ahead of the receiver.
const FRAMES_AHEAD: usize = 2;

/// Answers requests from the control task's state and the log.
#[derive(Clone, Debug)]
pub struct Answerer {
    owner: Owner,
    log: Arc<dyn Log>,
    follower: Option<Follower>,
    credits: Option<Arc<dyn Credits>>,
}

/// Receives datagrams about batch credits.
pub trait Credits: Send + Sync + std::fmt::Debug {
    /// Handles one message.
    fn on_message(&self, from: Writer, message: credit::Message);
}

impl Answerer {
    /// Creates an answerer for an owner. It serves the configuration from `follower`, and passes credit datagrams to `credits`.
    pub fn new(
        owner: Owner,
        log: Arc<dyn Log>,
        follower: Option<Follower>,
        credits: Option<Arc<dyn Credits>>,
    ) -> Self {
        Self {
            owner,
            log,
            follower,
            credits,
        }
    }

    /// Answers one request; the last frame is the final one.
    pub async fn ask(&self, request: Request) -> BoxStream<'static, Response> {
        match request {
            Request::Results {
                job,
                shard,
                from,
                custom_id,
            } => {
                // A lagging follower would report items of an ended job as pending or missing.
                let past = match from {
                    id::Chunk::MAX => Ok(0),
                    _ => self
                        .log
                        .bounds(Stream::Work(shard))
                        .await
                        .map(|bounds| bounds.tail),
                };
                let past = match past {
                    Ok(past) => past,
                    Err(error) => {
                        let message = error.to_string();
                        return one(failed(Code::LogUnavailable, Ran::No, message));
                    }
                };
                let (reply, plan) = oneshot::channel();
                self.owner
                    .ask(OwnerRequest::Results {
                        job,
                        shard,
                        from,
                        past,
                        reply,
                    })
                    .await;
                let Ok(Some(plan)) = plan.await else {
                    return one(Response::NotOwner(None));
                };
                let wanted = Wanted { shard, custom_id };
                let (frames, answer) = mpsc::channel(FRAMES_AHEAD);
                tokio::spawn(results::send(self.log.clone(), wanted, plan, frames));
                let answer = stream::unfold(answer, |mut answer| async {
                    let frame = answer.recv().await?;
                    Some((frame, answer))
                });
                answer.boxed()
            }
            Request::Config { from } => match &self.follower {
                Some(follower) => stream::iter(follower.serve(from).await).boxed(),
                None => one(Response::Config(Vec::new())),
            },
            request => {
                let (reply, answer) = oneshot::channel();
                self.owner
                    .ask(OwnerRequest::Request { request, reply })
                    .await;
                one(answer.await.unwrap_or(Response::NotOwner(None)))
            }
        }
    }
}

#[async_trait]
impl Answer for Answerer {
    async fn answer(&self, _from: Writer, request: Request) -> BoxStream<'static, Response> {
        self.ask(request).await
    }

    fn on_credit(&self, from: Writer, message: credit::Message) {
        if let Some(credits) = &self.credits {
            credits.on_message(from, message);
        }
    }
}

fn one(response: Response) -> BoxStream<'static, Response> {
    stream::iter([response]).boxed()
}
