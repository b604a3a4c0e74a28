//! Applies records about items: dispatches, completions, and chunks carried forward.

use smallvec::SmallVec;
use tinbank_base::{
    id,
    record::{Writer, work},
};

use super::{Dispatch, Key, Shard};
use crate::{
    change::{Change, Changes},
    chunk::Place,
};

impl Shard {
    /// Accepts only dispatches by the holder of the lease, and only the first one of each item. An owner that reads its
    /// dispatch back as accepted knows that no other process has sent or will send the item.
    pub(super) fn apply_dispatch(
        &mut self,
        writer: Writer,
        dispatch: &work::Dispatch,
        changes: &mut Changes,
    ) {
        if self.lease.term(writer) != Some(dispatch.epoch) {
            return;
        }
        let work = self.works.get(&dispatch.job).filter(|work| work.runnable());
        let Some(chunk) = work.and_then(|work| work.chunk(dispatch.chunk)) else {
            return;
        };
        let mut items = SmallVec::new();
        for item in &dispatch.items {
            let key = Key {
                job: dispatch.job,
                item: *item,
            };
            let pending = chunk.holds(*item) && !chunk.ended(*item);
            if !pending || self.dispatches.contains_key(&key) {
                continue;
            }
            let open = Dispatch {
                chunk: dispatch.chunk,
                epoch: dispatch.epoch,
            };
            self.dispatches.insert(key, open);
            items.push(*item);
        }
        if !items.is_empty() {
            changes.push(Change::Dispatched {
                job: dispatch.job,
                items,
            });
        }
    }

    pub(super) fn apply_completed(
        &mut self,
        offset: id::Offset,
        completed: &work::Completed,
        changes: &mut Changes,
    ) {
        let job = completed.job;
        let Some(work) = self.works.get_mut(&job) else {
            return;
        };
        let mut items = SmallVec::new();
        for completion in &completed.completions {
            if !work.end_item(completed.chunk, completion, offset) {
                continue;
            }
            items.push(completion.item);
            if !self.dispatches.is_empty() {
                let item = completion.item;
                self.dispatches.remove(&Key { job, item });
            }
        }
        if items.is_empty() {
            return;
        }
        changes.push(Change::Completed {
            job,
            chunk: completed.chunk,
            items,
        });
        self.check_finished(job, changes);
    }

    pub(super) fn apply_carried(
        &mut self,
        place: Place,
        carried: &work::Carried,
        changes: &mut Changes,
    ) {
        let (job, number) = (carried.chunk.job, carried.chunk.chunk);
        let work = self.works.get_mut(&job);
        let chunk = work.and_then(|work| work.chunk_of_intake(carried.chunk.intake, number));
        if chunk.is_some_and(|chunk| chunk.carry(place, carried.through)) {
            changes.push(Change::Carried { job, chunk: number });
        }
    }

    pub(super) fn apply_moved(&mut self, place: Place, moved: &work::Moved, changes: &mut Changes) {
        let (job, number) = (moved.completed.job, moved.completed.chunk);
        let work = self.works.get_mut(&job);
        let chunk = work.and_then(|work| work.chunk_of_intake(moved.intake, number));
        if chunk.is_some_and(|chunk| chunk.move_results(moved.from, place.offset)) {
            changes.push(Change::Carried { job, chunk: number });
        }
    }
}
