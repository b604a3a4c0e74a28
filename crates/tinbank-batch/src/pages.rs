//! Reads a job's results in one shard page by page, each page from the shard's current owner.

use std::time::{Duration, Instant};

use tinbank_base::{
    frame::request::{Outcome, Request, Response},
    id,
    outcome::Failure,
    record::work::Head,
};
use tinbank_ledger::placement;

use crate::owner_client::OwnerClient;

/// Timeout for reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(15);

/// A reader of a job's results in one shard.
#[derive(Debug)]
pub struct Pages {
    owner_client: OwnerClient,
    job: id::Job,
    shard: id::Shard,
    shards: id::Shard,
    spread: u16,
    chunks: id::Chunk,
    /// The chunk to read next.
    next: id::Chunk,
    custom_id: Option<String>,
}

/// The result of reading one page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Items of the page, possibly none.
    Items(Items),
    /// The job has not been released to the shard yet, so none of its items has ended.
    NotReleased,
    /// There are no more pages.
    End,
}

/// Items of a job, as reported by the shard's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Items {
    /// The items, ended or not.
    pub outcomes: Vec<Outcome>,
    /// Whether the shard has read the job's cancel, so that pending items will never end. Until then, a completion may still
    /// take effect.
    pub cancelled: bool,
}

impl Pages {
    /// Creates a reader at the first page.
    pub fn new(
        owner_client: OwnerClient,
        head: &Head,
        shard: id::Shard,
        shards: id::Shard,
    ) -> Self {
        Self {
            owner_client,
            job: head.job,
            shard,
            shards,
            spread: head.shards.len() as u16,
            chunks: head.chunks,
            next: 0,
            custom_id: None,
        }
    }

    /// Restricts the reader to the item with this `custom_id`.
    pub fn with_custom_id(self, custom_id: &str) -> Self {
        Self {
            custom_id: Some(custom_id.to_owned()),
            ..self
        }
    }

    /// Reads the next page.
    ///
    /// # Errors
    /// Returns a failure if no owner answers in time or the results cannot be read.
    pub async fn next(&mut self) -> Result<Page, Failure> {
        let Some(first) = self.chunk_from(self.next) else {
            return Ok(Page::End);
        };
        let request = Request::Results {
            job: self.job,
            shard: self.shard,
            from: first,
            custom_id: self.custom_id.clone(),
        };
        let until = Instant::now() + PAGE_TIMEOUT;
        let frames = self.owner_client.ask(self.shard, request, until).await?;
        let mut items = Items::default();
        let mut ended = 0;
        for frame in frames {
            match frame {
                Response::Results(outcomes) if outcomes.is_empty() => ended += 1,
                Response::Results(outcomes) => items.outcomes.extend(outcomes),
                Response::Counted(count) => items.cancelled = count.cancelled > 0,
                _ => {}
            }
        }
        if ended == 0 {
            return Ok(Page::NotReleased);
        }
        self.next = first;
        for _ in 0..ended {
            self.next = self
                .chunk_from(self.next)
                .map_or(self.chunks, |chunk| chunk + 1);
        }
        Ok(Page::Items(items))
    }

    /// Returns the first chunk of the shard at or after `from`.
    fn chunk_from(&self, from: id::Chunk) -> Option<id::Chunk> {
        (from..self.chunks).find(|chunk| {
            placement::shard_of_chunk(self.job, *chunk, self.spread, self.shards) == self.shard
        })
    }
}
