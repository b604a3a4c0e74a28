//! Reads a job's results in one shard page by page, from whoever owns the shard by then.

use std::time::{Duration, Instant};

use tinbank_base::{
    frame::request::{Count, Outcome, Request, Response, Status},
    id,
    outcome::{Code, Failure},
};
use tinbank_ledger::placement;
use tokio::time;

use crate::asker::Asker;

/// Time to read one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause before whoever has not read enough yet is asked again.
const BEHIND: Duration = Duration::from_millis(50);

/// A reader of a job's results in one shard.
#[derive(Debug)]
pub struct Pages {
    asker: Asker,
    job: id::Job,
    shard: id::Shard,
    shards: id::Shard,
    spread: u16,
    chunks: id::Chunk,
    /// Whether the shard has said that none of the job's items is pending there.
    finished: bool,
    /// The chunk to read next.
    next: id::Chunk,
    custom_id: Option<String>,
}

/// What was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Some items, or none.
    Items(Items),
    /// The shard has not yet been told of the job; none of its items has ended.
    NotYet,
    /// There are no more.
    End,
}

/// Items of a job, as a shard's owner says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Items {
    /// The items, ended or not.
    pub outcomes: Vec<Outcome>,
    /// Whether those that have not ended never will: the shard has read the job's cancel. Until then a completion may
    /// still count.
    pub cancelled: bool,
}

impl Pages {
    /// A reader at the start.
    pub fn new(asker: Asker, status: &Status, shard: id::Shard, shards: id::Shard) -> Self {
        let head = &status.head;
        Self {
            asker,
            job: head.job,
            shard,
            shards,
            spread: head.shards.len() as u16,
            chunks: head.chunks,
            finished: status.parts.iter().any(|part| part.shard == shard),
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

    /// The next items.
    ///
    /// # Errors
    /// No owner answers in time, or the results can't be read.
    pub async fn next(&mut self) -> Result<Page, Failure> {
        let Some(first) = self.chunk_from(self.next) else {
            return Ok(Page::End);
        };
        let frames = self.ask(first).await?;
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
            return Ok(Page::NotYet);
        }
        self.next = first;
        for _ in 0..ended {
            self.next = self
                .chunk_from(self.next)
                .map_or(self.chunks, |chunk| chunk + 1);
        }
        Ok(Page::Items(items))
    }

    /// Asks until whoever answers has read as much of the shard as the job's status knows of it: a process that was
    /// paused may be asked before it has read on, and would leave out items that have ended.
    async fn ask(&self, from: id::Chunk) -> Result<Vec<Response>, Failure> {
        let until = Instant::now() + PAGE_TIMEOUT;
        loop {
            let request = Request::Results {
                job: self.job,
                shard: self.shard,
                from,
                custom_id: self.custom_id.clone(),
            };
            let frames = self.asker.ask(self.shard, request, until).await?;
            if !(self.finished && frames.iter().any(is_behind)) {
                return Ok(frames);
            }
            if Instant::now() + BEHIND >= until {
                let message = "the results of the job's last items can't be read yet";
                return Err(Failure::not_run(Code::NotReady, message).help("ask again"));
            }
            time::sleep(BEHIND).await;
        }
    }

    /// The first chunk of the shard from `from` on.
    fn chunk_from(&self, from: id::Chunk) -> Option<id::Chunk> {
        (from..self.chunks).find(|chunk| {
            placement::shard_of_chunk(self.job, *chunk, self.spread, self.shards) == self.shard
        })
    }
}

/// Whether this count of a finished part was made before its end.
fn is_behind(frame: &Response) -> bool {
    let Response::Counted(count) = frame else {
        return false;
    };
    count.pending > 0 || *count == Count::default()
}
