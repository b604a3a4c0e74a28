//! Buffers completions for the log. Each shard has one append in flight; completions that arrive meanwhile share the next.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tinbank_base::{
    id,
    record::work::{Completed, Completion, Outcome},
};

/// Approximate maximum size of the completions in one append, in bytes.
const APPEND_BYTES: usize = 256 << 10;
/// How long a completion waits for others to share its append while items of the shard are running.
const BATCHING_DELAY: Duration = Duration::from_millis(50);
/// Approximate encoded size of a completion without its answer, in bytes.
const OVERHEAD: usize = 32;

/// Completions of one shard that are not known to be appended.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: BTreeMap<(id::Job, id::Chunk), Vec<Completion>>,
    bytes: usize,
    /// When the oldest waiting completion was added.
    since: Option<Instant>,
    /// Whether an append is under way.
    sending: bool,
}

impl Outbox {
    pub(super) fn push(
        &mut self,
        job: id::Job,
        chunk: id::Chunk,
        completion: Completion,
        now: Instant,
    ) {
        self.since.get_or_insert(now);
        self.bytes += size(&completion);
        self.waiting
            .entry((job, chunk))
            .or_default()
            .push(completion);
    }

    /// Returns the completions to append now, unless an append is in flight. With `more`, further items may end soon, so a
    /// small batch is delayed.
    pub(super) fn next_batch(&mut self, more: bool, now: Instant) -> Option<Vec<Completed>> {
        if self.sending || self.waiting.is_empty() {
            return None;
        }
        let waited = self
            .since
            .is_none_or(|since| now.saturating_duration_since(since) >= BATCHING_DELAY);
        if more && !waited && self.bytes < APPEND_BYTES {
            return None;
        }
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(((job, chunk), mut completions)) = self.waiting.pop_first() {
            let fits = fitting(&completions, APPEND_BYTES - bytes, batch.is_empty());
            let rest = completions.split_off(fits);
            bytes += completions.iter().map(size).sum::<usize>();
            if !completions.is_empty() {
                batch.push(Completed {
                    job,
                    chunk,
                    completions,
                });
            }
            if !rest.is_empty() {
                self.waiting.insert((job, chunk), rest);
                break;
            }
            if bytes >= APPEND_BYTES {
                break;
            }
        }
        self.bytes = self.bytes.saturating_sub(bytes);
        self.since = self.since.filter(|_| !self.waiting.is_empty());
        self.sending = true;
        Some(batch)
    }

    /// Records the end of the append. Completions in `failed` are appended again; this is safe, since the first copy in the
    /// log takes precedence.
    pub(super) fn on_appended(&mut self, failed: Vec<Completed>, now: Instant) {
        self.sending = false;
        for completed in failed {
            for completion in completed.completions {
                self.push(completed.job, completed.chunk, completion, now);
            }
        }
    }

    pub(super) fn drop_job(&mut self, job: id::Job) {
        self.waiting.retain(|(of, _), _| *of != job);
        self.since = self.since.filter(|_| !self.waiting.is_empty());
        self.bytes = self.waiting.values().flatten().map(size).sum();
    }

    /// Returns the size of the waiting completions in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && !self.sending
    }
}

/// Returns how many completions fit into `room` bytes, and at least one if `first`.
fn fitting(completions: &[Completion], room: usize, first: bool) -> usize {
    let mut bytes = 0;
    let fits = completions.iter().take_while(|completion| {
        bytes += size(completion);
        bytes <= room
    });
    fits.count().max(usize::from(first))
}

fn size(completion: &Completion) -> usize {
    let body = match &completion.outcome {
        Outcome::Answer(answer) => answer.len(),
        Outcome::Failed { message, .. } => message.len(),
    };
    body + OVERHEAD
}

#[cfg(test)]
mod tests;
