//! Handles requests and messages from other processes.

use std::sync::Arc;

use async_trait::async_trait;
use futures::{StreamExt as _, stream, stream::BoxStream};
use tinbank_base::{
    frame::{
        credit, demand,
        request::{Request, Response},
    },
    peer::Answer,
    record::Writer,
};
use tinbank_configuration::follower::Follower;
use tinbank_process::answer;

use super::limits;
use crate::context::Context;

/// The handler of requests and messages from other processes.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    pub(crate) follower: Follower,
    pub(crate) ctx: Arc<Context>,
}

#[async_trait]
impl Answer for PeerHandler {
    async fn answer(&self, _from: Writer, request: Request) -> BoxStream<'static, Response> {
        let refusal = "an online process answers only for the configuration";
        let frames = answer::configuration_only(&self.follower, request, refusal).await;
        stream::iter(frames).boxed()
    }

    /// Ignores the message: online processes use no credits.
    fn on_credit(&self, _from: Writer, _message: credit::Message) {}

    fn on_demand(&self, from: Writer, message: demand::Message) {
        limits::on_message(&self.ctx, from, &message);
    }
}
