//! Selects the shards to follow and applies events of their readers.

use std::{sync::Arc, time::SystemTime};

use tinbank_base::{
    event::Kind,
    id,
    platform::log::Stream,
    record::{Envelope, work},
};
use tinbank_ledger::{Change, Changes, checkpoint::Recovery, lease, shard::Shard};
use tinbank_log::reader::{self, Event, Reader};
use tinbank_membership::rendezvous;

use super::{control::Control, input::Input, shard::FollowedShard};

impl Control {
    /// Follows the shards for which this process ranks high enough, and stops following others once they are idle.
    pub(super) fn follow(&mut self) {
        let members = self.deps.directory.members();
        if Arc::ptr_eq(&members, &self.members) {
            return;
        }
        self.members = members;
        for shard in 0..self.deps.shards {
            self.follow_shard(shard);
        }
    }

    fn follow_shard(&mut self, shard: id::Shard) {
        let rank = self.rank(shard);
        let near = rank.is_some_and(|rank| rank < self.deps.followers);
        if near && !self.shards.contains_key(&shard) {
            let followed = self.begin_at(shard, 0);
            self.shards.insert(shard, followed);
        }
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        followed.rank = rank;
        if !near && followed.is_idle(self.deps.me) {
            self.shards.remove(&shard);
        }
    }

    /// Returns the rank of this process among the members that may own the shard.
    fn rank(&self, shard: id::Shard) -> Option<u32> {
        let ready = self.members.ready(id::Role::Batch);
        let ranked = rendezvous::rank(ready, rendezvous::Key::Shard(shard));
        let place = ranked
            .iter()
            .position(|member| member.writer.process == self.deps.me.process);
        place.map(|place| place as u32)
    }

    fn begin_at(&mut self, shard: id::Shard, from: id::Offset) -> FollowedShard {
        self.last_generation += 1;
        let generation = self.last_generation;
        let reader = Reader::new(
            self.deps.log.clone(),
            Stream::Work(shard),
            from,
            reader::Settings::default(),
        );
        let inputs = self.inputs.clone();
        let task = self.deps.traffic.spawn(async move {
            let mut reader: Reader<work::Record> = reader;
            loop {
                let event = Box::new(reader.next().await);
                let input = Input::Read {
                    shard,
                    generation,
                    event,
                };
                if inputs.send(input).await.is_err() {
                    return;
                }
            }
        });
        let (shards, me, terms) = (self.deps.shards, self.deps.me, self.deps.terms);
        let retention = self.deps.retention;
        FollowedShard::new(
            shard,
            shards,
            me,
            terms,
            retention,
            generation,
            task.abort_handle(),
        )
    }

    /// Handles an event of a shard's reader.
    pub(super) fn on_read(
        &mut self,
        shard: id::Shard,
        generation: u64,
        event: Event<work::Record>,
    ) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        if followed.generation != generation {
            return;
        }
        self.dirty.insert(shard);
        let now = std::time::Instant::now();
        match event {
            Event::Record { entry, envelope } => self.fold(shard, entry.offset, &envelope),
            Event::Skipped { entry, .. } => followed.fold.skip(entry.offset),
            Event::Tail { .. } => {
                let lease = *followed.fold.lease();
                followed.caught_up |= followed.recovery.is_none();
                followed.readable = true;
                followed.contender.observe_tail(&lease, true, now);
                self.give_up_recovery(shard);
            }
            Event::Trimmed { first } => {
                followed.recovery = Some(Recovery::new(shard, self.deps.shards, first));
                followed.first = first;
                followed.caught_up = false;
            }
            Event::Outage { .. } => {
                let lease = *followed.fold.lease();
                followed.readable = false;
                followed.contender.observe_tail(&lease, false, now);
            }
        }
    }

    fn fold(&mut self, shard: id::Shard, offset: id::Offset, envelope: &Envelope<work::Record>) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        self.deps.recorder.observe(envelope.stamp);
        if let Some(recovery) = &mut followed.recovery {
            match recovery.offer(offset, envelope) {
                Ok(Some(fold)) => self.recovered(shard, fold),
                Ok(None) => {}
                Err(error) => {
                    metrics::counter!("tinbank_batch_checkpoints_refused_total").increment(1);
                    log::warn!(shard, offset, error:%; "checkpoint skipped: it cannot be restored");
                }
            }
            return;
        }
        let now = SystemTime::now();
        followed.upkeep.marks.record(offset, envelope.stamp, now);
        let changes = followed.fold.apply(offset, envelope);
        for change in &changes {
            followed.apply_change(change, self.deps.me);
        }
        self.note_changes(shard, &changes);
    }

    /// Restarts reading from a checkpoint that was found.
    fn recovered(&mut self, shard: id::Shard, fold: Shard) {
        let mut begun = self.begin_at(shard, fold.next());
        begun.rank = self.rank(shard);
        begun.fold = fold;
        self.shards.insert(shard, begun);
    }

    /// Ends a recovery that reached the tail without a checkpoint: the state starts at the first remaining record.
    fn give_up_recovery(&mut self, shard: id::Shard) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        if followed.recovery.take().is_none() {
            return;
        }
        log::error!(shard; "shard log was trimmed and has no checkpoint; state restarts at the first remaining record");
        let first = followed.first;
        let mut begun = self.begin_at(shard, first);
        begun.rank = self.rank(shard);
        begun.fold = Shard::starting_at(shard, self.deps.shards, first);
        self.shards.insert(shard, begun);
    }

    fn note_changes(&self, shard: id::Shard, changes: &Changes) {
        let me = self.deps.me;
        for change in changes {
            match change {
                Change::Committed(job) => {
                    let fold = self.shards.get(&shard).map(|followed| &followed.fold);
                    let items = fold
                        .and_then(|fold| fold.job(*job))
                        .map(|job| job.head.items);
                    if let Some(items) = items {
                        self.record_event(shard, Some(*job), Kind::Committed { items });
                    }
                }
                Change::Lease(lease::Change::Taken(holder)) if holder.writer == me => {
                    let epoch = holder.epoch;
                    log::info!(shard, epoch; "lease taken");
                    self.record_event(shard, None, Kind::LeaseTaken { epoch });
                }
                Change::Lease(lease::Change::Released(holder)) if holder.writer == me => {
                    let epoch = holder.epoch;
                    log::info!(shard, epoch; "lease released");
                    self.record_event(shard, None, Kind::LeaseReleased { epoch });
                }
                Change::Cancelled(job) => self.record_event(shard, Some(*job), Kind::Cancelled),
                _ => {}
            }
        }
    }
}
