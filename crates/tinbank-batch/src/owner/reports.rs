//! Takes back from the runner how items ended.

use std::time::Instant;

use tinbank_base::{
    event::{Kind, Subject},
    record::work,
};

use super::{control::Control, load::REST};
use crate::runner::task::{Key, Report};

impl Control {
    /// Takes in what the runner says.
    pub(super) fn reported(&mut self, report: Report) {
        let me = self.deps.me;
        match report {
            Report::Dispatch { key, reply } => {
                let Some(followed) = self.shards.get_mut(&key.shard) else {
                    return;
                };
                self.dirty.insert(key.shard);
                // The answer comes from the fold when the shard is driven.
                followed.dispatches.ask(key, reply);
            }
            Report::Returned { key } => {
                if let Some(followed) = self.shards.get_mut(&key.shard)
                    && followed.epoch(me) == Some(key.epoch)
                {
                    self.dirty.insert(key.shard);
                    let rest = Instant::now() + REST;
                    followed.hand.give_back(key.job, key.chunk, key.item, rest);
                }
            }
            Report::Ended { key, completion } => self.ended(key, completion),
        }
    }

    fn ended(&mut self, key: Key, completion: work::Completion) {
        let Some(followed) = self.shards.get_mut(&key.shard) else {
            return;
        };
        self.dirty.insert(key.shard);
        let work = followed.fold.work(key.job).filter(|work| !work.cancelled);
        let chunk = work.and_then(|work| work.chunk(key.chunk));
        let open = chunk.is_some_and(|chunk| !chunk.ended(key.item));
        let in_hand = followed.hand.end(key.job, key.chunk, key.item);
        if !open {
            // Another owner's completion counts, or a cancel.
            if in_hand {
                followed.hand.read_back(key.job, key.chunk, &[key.item]);
            }
            return;
        }
        let kind = Kind::Completed {
            answered: matches!(completion.outcome, work::Outcome::Answer(_)),
            attempts: completion.attempts,
        };
        let now = Instant::now();
        followed.outbox.push(key.job, key.chunk, completion, now);
        let subject = Subject {
            shard: Some(key.shard),
            job: Some(key.job),
            item: Some(key.item),
            ..Subject::default()
        };
        self.deps.recorder.note(subject, kind);
    }
}
