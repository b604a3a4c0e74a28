//! What is exchanged with other processes.

use std::sync::Arc;

use async_trait::async_trait;
use futures::{StreamExt as _, stream, stream::BoxStream};
use tinbank_base::{
    event::{Kind, Subject},
    frame::{
        credit,
        request::{Request, Response},
    },
    id,
    outcome::{Code, Ran},
    peer::Answer,
    record::Writer,
};
use tinbank_configuration::follower::Follower;
use tinbank_membership::Membership;
use tinbank_routing::Table;
use tinbank_timeline::Recorder;

use crate::{clock, context::Context};

/// Passes on the first signs of leaving upstreams, our own and those that we heard of.
pub(super) async fn pass_on_leaving(recorder: Recorder, table: Table, membership: Membership) {
    loop {
        table.signed().await;
        for leaving in table.leaving(clock::now()) {
            let subject = Subject {
                upstream: Some(leaving.upstream),
                ..Subject::default()
            };
            recorder.note(subject, Kind::UpstreamLeaving);
            membership.upstream_leaving(leaving);
        }
    }
}

/// Takes in what peers say of leaving upstreams.
pub(super) async fn hear_leaving(table: Table, membership: Membership) {
    let mut leaving = membership.leaving();
    loop {
        let words = leaving.borrow_and_update().clone();
        for word in words.iter() {
            table.hear(*word, clock::now());
        }
        if leaving.changed().await.is_err() {
            return;
        }
    }
}

/// Shares the limits of customers with the online processes that serve.
pub(super) async fn share_limits(ctx: Arc<Context>, membership: Membership) {
    let mut members = membership.watch();
    loop {
        let now = members.borrow_and_update().clone();
        let hosts = now.ready(id::Role::Online);
        ctx.gate
            .set_hosts(hosts.map(|member| member.writer.process.host));
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// Answers other processes.
#[derive(Debug)]
pub(crate) struct Answerer {
    pub(crate) follower: Follower,
}

#[async_trait]
impl Answer for Answerer {
    async fn answer(&self, _from: Writer, request: Request) -> BoxStream<'static, Response> {
        let frames = match request {
            Request::Config { from } => self.follower.serve(from).await,
            _ => vec![Response::Failed {
                code: Code::BadRequest,
                ran: Ran::No,
                message: "an online process answers only for the configuration".to_owned(),
            }],
        };
        stream::iter(frames).boxed()
    }

    /// Online processes get no credits: a frame that says so is not for us.
    fn told(&self, _from: Writer, _message: credit::Message) {}
}
