//! Reads a job's results in one shard page by page, from whoever owns the shard by then.

use std::time::{Duration, Instant};

use tinbank_base::{
    frame::request::{Outcome, Request, Response},
    id,
    outcome::Failure,
    record::work::Head,
};
use tinbank_ledger::placement;

use crate::asker::Asker;

/// Time to read one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(15);

/// A reader of a job's results in one shard.
#[derive(Debug)]
pub struct Pages {
    asker: Asker,
    job: id::Job,
    shard: id::Shard,
    shards: id::Shard,
    spread: u16,
    chunks: id::Chunk,
    /// The chunk to read next.
    next: id::Chunk,
    custom_id: Option<String>,
}

/// What was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Results of some items, or of none.
    Results(Vec<Outcome>),
    /// The shard has not yet been told of the job; none of its items has ended.
    NotYet,
    /// There are no more.
    End,
}

impl Pages {
    /// A reader at the start.
    pub fn new(asker: Asker, head: &Head, shard: id::Shard, shards: id::Shard) -> Self {
        Self {
            asker,
            job: head.job,
            shard,
            shards,
            spread: head.shards.len() as u16,
            chunks: head.chunks,
            next: 0,
            custom_id: None,
        }
    }

    /// Only the item of this name.
    pub fn only(self, custom_id: &str) -> Self {
        Self {
            custom_id: Some(custom_id.to_owned()),
            ..self
        }
    }

    /// The next results.
    ///
    /// # Errors
    /// No owner answers in time, or the results can't be read.
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
        let frames = self.asker.ask(self.shard, request, until).await?;
        let mut page = Vec::new();
        let mut ended = 0;
        for frame in frames {
            match frame {
                Response::Results(outcomes) if outcomes.is_empty() => ended += 1,
                Response::Results(outcomes) => page.extend(outcomes),
                _ => {}
            }
        }
        if ended == 0 {
            return Ok(Page::NotYet);
        }
        self.next = first;
        for _ in 0..ended {
            self.next = self
                .chunk_from(self.next)
                .map_or(self.chunks, |chunk| chunk + 1);
        }
        Ok(Page::Results(page))
    }

    /// The first chunk of the shard from `from` on.
    fn chunk_from(&self, from: id::Chunk) -> Option<id::Chunk> {
        (from..self.chunks).find(|chunk| {
            placement::shard_of_chunk(self.job, *chunk, self.spread, self.shards) == self.shard
        })
    }
}
