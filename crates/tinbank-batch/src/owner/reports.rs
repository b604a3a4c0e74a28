//! Handles the runner's reports about items.

use std::time::Instant;

use tinbank_base::{
    event::{Kind, Subject},
    record::work,
};

use super::{control::Control, load::RELOAD_DELAY};
use crate::runner::task::{Key, Report};

impl Control {
    pub(super) fn on_report(&mut self, report: Report) {
        let me = self.deps.me;
        match report {
            Report::Dispatch { key, reply } => {
                let Some(followed) = self.shards.get_mut(&key.shard) else {
                    return;
                };
                self.dirty.insert(key.shard);
                // The reply is decided from the fold when the shard is driven.
                followed.dispatches.request(key, reply);
            }
            Report::Returned { key } => {
                if let Some(followed) = self.shards.get_mut(&key.shard)
                    && followed.epoch(me) == Some(key.epoch)
                {
                    self.dirty.insert(key.shard);
                    let reload_at = Instant::now() + RELOAD_DELAY;
                    followed
                        .active_items
                        .on_returned(key.job, key.chunk, key.item, reload_at);
                }
            }
            Report::Ended { key, completion } => self.on_item_ended(key, completion),
        }
    }

    fn on_item_ended(&mut self, key: Key, completion: work::Completion) {
        let Some(followed) = self.shards.get_mut(&key.shard) else {
            return;
        };
        self.dirty.insert(key.shard);
        let work = followed.fold.work(key.job).filter(|work| !work.cancelled);
        let chunk = work.and_then(|work| work.chunk(key.chunk));
        let open = chunk.is_some_and(|chunk| !chunk.ended(key.item));
        let active = followed.active_items.on_ended(key.job, key.chunk, key.item);
        if !open {
            // The item already has another owner's completion, or the job was cancelled.
            if active {
                followed
                    .active_items
                    .on_read_back(key.job, key.chunk, &[key.item]);
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
