//! Whether a state that was read from a checkpoint is one that the fold could have made.

use super::Shard;
use crate::job::Work;

impl Shard {
    /// Names the first thing that the fold relies on and that does not hold; `None`: all is well.
    ///
    /// A checkpoint comes from outside: its bytes may decode and still hold numbers that no fold has made.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        if !self.works.values().all(Work::sound) {
            return Some("the counts of a job's chunks do not agree");
        }
        if !self.claims.sound() {
            return Some("the count of open claims does not agree");
        }
        let epoch = self.lease.holder.map_or(0, |holder| holder.epoch);
        if epoch > self.lease.epoch {
            return Some("the lease's holder is of a later term than the lease");
        }
        let collecting = self.collecting.as_ref();
        if collecting.is_some_and(|collecting| collecting.next >= collecting.parts) {
            return Some("a part of a checkpoint is out of range");
        }
        None
    }
}
