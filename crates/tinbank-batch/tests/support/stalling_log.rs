//! A log whose reads can be stalled for one host.

use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use tinbank_base::{
    id,
    platform::log::{Bounds, Error, Log, Page, Stream},
};
use tinbank_test_support::log::Memory;
use tokio::sync::watch;

#[derive(Clone, Debug)]
pub struct StallingLog {
    pub log: Memory,
    pub frozen: watch::Receiver<bool>,
}

#[async_trait]
impl Log for StallingLog {
    async fn append(&self, stream: Stream, payload: Bytes) -> Result<id::Offset, Error> {
        self.log.append(stream, payload).await
    }

    async fn read(
        &self,
        stream: Stream,
        from: id::Offset,
        limit: usize,
        until: Instant,
    ) -> Result<Page, Error> {
        let page = self.log.read(stream, from, limit, until).await;
        // An error means that the sender was dropped with the world.
        let _ = self.frozen.clone().wait_for(|frozen| !frozen).await;
        page
    }

    async fn bounds(&self, stream: Stream) -> Result<Bounds, Error> {
        self.log.bounds(stream).await
    }
}
