//! Consistency check of a state decoded from a checkpoint.

use super::Shard;
use crate::job::Work;

impl Shard {
    /// Returns the first violated invariant that the fold relies on, or `None` if the state is consistent.
    ///
    /// Checkpoint bytes are untrusted: they may decode to a state that no sequence of records can produce.
    pub(crate) fn inconsistency(&self) -> Option<&'static str> {
        if !self.works.values().all(Work::is_consistent) {
            return Some("the item counts of a job do not match its chunks");
        }
        if !self.claims.is_consistent() {
            return Some("the count of open claims does not match the claims");
        }
        let epoch = self.lease.holder.map_or(0, |holder| holder.epoch);
        if epoch > self.lease.epoch {
            return Some("the term of the lease holder is later than the latest term of the lease");
        }
        let collecting = self.collecting.as_ref();
        if collecting.is_some_and(|collecting| collecting.next >= collecting.parts) {
            return Some("the next part of a checkpoint is out of range");
        }
        None
    }
}
