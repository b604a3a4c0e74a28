//! Continuous batching, first come, first served. It reads no clock: the caller waits out each step.

use std::{collections::VecDeque, time::Duration};

use tinbank_base::id;
use tokio::sync::mpsc;

use super::{Settings, answer::Text, cache::Cache};
use crate::account::{Account, End, Index};

/// What a sequence sends to whoever waits for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    Token { index: u32, text: String },
    End { reason: &'static str, tokens: u32 },
    Cancelled { tokens: u32 },
}

/// One request in the engine.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub request: id::Request,
    pub run: Index,
    pub words: Vec<String>,
    pub answer: Text,
    pub next: u32,
    pub kills: bool,
    pub events: mpsc::UnboundedSender<Event>,
}

/// The state of an engine's batch.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    base: Duration,
    per_sequence: Duration,
    tokens_per_second: f64,
    cache: Cache,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    account: Account,
}

/// What a step led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Done,
    /// A sequence with the marker that kills the engine ran.
    Killed,
}

impl Batch {
    pub fn new(settings: &Settings, account: Account) -> Self {
        Self {
            slots: settings.slots.max(1) as usize,
            base: settings.base_step,
            per_sequence: settings.step_per_sequence,
            tokens_per_second: (settings.prefill_tokens_per_ms * 1_000.0).max(1.0),
            cache: Cache::new(settings.prefix_cache_tokens),
            waiting: VecDeque::new(),
            running: Vec::new(),
            account,
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Queues a request.
    pub fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Fills free slots and tells how long the step takes; `None` when there is nothing to do.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.drop_deserted();
        let mut uncached = 0;
        while self.running.len() < self.slots {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            // Tokens that the caller has already are prompt now, and in no cache.
            let resumed = sequence.next as usize;
            uncached += self.cache.admit(&sequence.words) + resumed;
            self.running.push(sequence);
        }
        if self.running.is_empty() {
            return None;
        }
        let prefill = Duration::from_secs_f64(uncached as f64 / self.tokens_per_second);
        Some(self.base + self.per_sequence * self.running.len() as u32 + prefill)
    }

    /// Gives each running sequence its next token.
    pub fn end_step(&mut self) -> Step {
        if self.running.iter().any(|sequence| sequence.kills) {
            return Step::Killed;
        }
        let account = &self.account;
        self.running
            .retain_mut(|sequence| sequence.advance(account));
        Step::Done
    }

    /// Stops a request, if it is here.
    pub fn cancel(&mut self, request: id::Request) {
        let account = &self.account;
        let mut keep = |sequence: &Sequence| {
            let other = sequence.request != request;
            if !other {
                account.end(sequence.run, End::Cancelled);
                let tokens = sequence.next;
                // Whoever waited may have gone, which is why it is cancelled.
                let _ = sequence.events.send(Event::Cancelled { tokens });
            }
            other
        };
        self.waiting.retain(&mut keep);
        self.running.retain(&mut keep);
    }

    /// Loses everything, as a dying engine does.
    pub fn clear(&mut self) {
        for sequence in self.waiting.drain(..).chain(self.running.drain(..)) {
            self.account.end(sequence.run, End::Failed);
        }
    }

    fn drop_deserted(&mut self) {
        let account = &self.account;
        let keep = |sequence: &Sequence| {
            let deserted = sequence.events.is_closed();
            if deserted {
                account.end(sequence.run, End::Cancelled);
            }
            !deserted
        };
        self.waiting.retain(keep);
        self.running.retain(keep);
    }
}

impl Sequence {
    /// Makes one token, and the end after the last. Returns whether the sequence goes on.
    fn advance(&mut self, account: &Account) -> bool {
        if self.next < self.answer.tokens {
            let index = self.next;
            let text = self.answer.token(index);
            self.next += 1;
            account.token(self.run);
            if self.events.send(Event::Token { index, text }).is_err() {
                account.end(self.run, End::Cancelled);
                return false;
            }
        }
        if self.next < self.answer.tokens {
            return true;
        }
        account.end(self.run, End::Completed);
        // The work is done, whether or not someone still waits.
        let _ = self.events.send(Event::End {
            reason: self.answer.finish_reason(),
            tokens: self.next,
        });
        false
    }
}

#[cfg(test)]
mod tests;
