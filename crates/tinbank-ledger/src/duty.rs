//! What the owner of a shard has to append, to its own and to other shards, until it is done.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use tinbank_base::{
    id,
    outcome::{Code, Ran},
    record::{Writer, work},
};

use crate::{job::Job, placement, shard::Shard};

/// Attempts noted for an item whose outcome is unknown.
const UNKNOWN_ATTEMPTS: u16 = 1;

/// Names a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// Release a job's chunks in a shard.
    Release {
        /// Which job.
        job: id::Job,
        /// In which shard.
        shard: id::Shard,
    },
    /// Cancel a job in a shard.
    Cancel {
        /// Which job.
        job: id::Job,
        /// In which shard.
        shard: id::Shard,
    },
    /// Tell the shard of a job's head that our part has finished.
    Part {
        /// Which job.
        job: id::Job,
    },
    /// Note in our own shard that it was told.
    Told {
        /// Which job.
        job: id::Job,
    },
    /// End items that an earlier owner may have sent and that may not be repeated.
    Unknown {
        /// Which job.
        job: id::Job,
        /// Which chunk.
        chunk: id::Chunk,
    },
}

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Its name, for [`Duties::acknowledged`].
    pub key: Key,
    /// The shard to append it to.
    pub shard: id::Shard,
    /// The record.
    pub record: work::Record,
}

/// Keeps the owner's duties of one shard, over the retries of a term.
///
/// A duty to our own shard ends when its record is read back. One to another shard, which we don't read, ends
/// with the acknowledgement of its append: it lasts then, and nothing can keep it from counting. That is
/// remembered for a term only; the next owner repeats what is not seen to be done, which is harmless.
#[derive(Clone, Debug)]
pub struct Duties {
    retry: Duration,
    epoch: Option<id::Epoch>,
    sent: BTreeMap<Key, Instant>,
    acknowledged: BTreeSet<Key>,
}

impl Duties {
    /// Duties of which each is given again after `retry` until it is done.
    pub fn new(retry: Duration) -> Self {
        Self {
            retry,
            epoch: None,
            sent: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
        }
    }

    /// What to append now; nothing unless `me` holds the shard's lease.
    pub fn due(&mut self, shard: &Shard, me: Writer, now: Instant) -> Vec<Duty> {
        self.turn(shard.lease().term(me));
        let Some(epoch) = self.epoch else {
            return Vec::new();
        };
        let open = self.open(shard, epoch);
        let keys: BTreeSet<Key> = open.iter().map(|duty| duty.key).collect();
        self.sent.retain(|key, _| keys.contains(key));
        self.acknowledged
            .retain(|key| keys.contains(key) || is_live(shard, *key));
        let due: Vec<Duty> = open
            .into_iter()
            .filter(|duty| self.sent.get(&duty.key).is_none_or(|retry| *retry <= now))
            .collect();
        for duty in &due {
            self.sent.insert(duty.key, now + self.retry);
        }
        due
    }

    /// Notes that the append of a duty was acknowledged.
    pub fn acknowledged(&mut self, shard: &Shard, duty: &Duty) {
        if duty.shard != shard.number() && self.sent.contains_key(&duty.key) {
            self.acknowledged.insert(duty.key);
        }
    }

    fn turn(&mut self, epoch: Option<id::Epoch>) {
        if self.epoch == epoch {
            return;
        }
        self.epoch = epoch;
        self.sent.clear();
        self.acknowledged.clear();
    }

    fn open(&self, shard: &Shard, epoch: id::Epoch) -> Vec<Duty> {
        let mut open = Vec::new();
        for job in shard.live_jobs() {
            self.releases(shard, job, &mut open);
            self.cancels(shard, job, &mut open);
        }
        for job in shard.live_works() {
            open.extend(self.part(shard, job));
        }
        open.extend(unknown(shard, epoch));
        open
    }

    fn releases(&self, shard: &Shard, job: &Job, open: &mut Vec<Duty>) {
        for to in missing(job) {
            if self.released(shard, job, to) {
                continue;
            }
            let key = Key::Release {
                job: job.head.job,
                shard: to,
            };
            open.push(Duty {
                key,
                shard: to,
                record: work::Record::Release(release(&job.head, to, shard.shards())),
            });
        }
    }

    fn released(&self, shard: &Shard, job: &Job, to: id::Shard) -> bool {
        if to == shard.number() {
            let work = shard.work(job.head.job);
            return work.is_some_and(|work| work.intake() == job.head.intake);
        }
        self.acknowledged.contains(&Key::Release {
            job: job.head.job,
            shard: to,
        })
    }

    fn cancels(&self, shard: &Shard, job: &Job, open: &mut Vec<Duty>) {
        if !job.cancelled {
            return;
        }
        for to in missing(job) {
            let key = Key::Cancel {
                job: job.head.job,
                shard: to,
            };
            // A cancel that came before its release could meet a finished predecessor of the job.
            if !self.released(shard, job, to) || self.acknowledged.contains(&key) {
                continue;
            }
            let work = shard.work(job.head.job).filter(|_| to == shard.number());
            if work.is_some_and(|work| work.cancelled || work.finished()) {
                continue;
            }
            open.push(Duty {
                key,
                shard: to,
                record: work::Record::Cancel { job: job.head.job },
            });
        }
    }

    fn part(&self, shard: &Shard, job: id::Job) -> Option<Duty> {
        let work = shard.work(job).filter(|work| work.finished())?;
        let count = work.count();
        let part = work::Part {
            job,
            intake: work.intake(),
            shard: shard.number(),
            answered: count.answered,
            failed: count.failed,
            cancelled: count.cancelled,
        };
        let head = placement::shard_of_job(job, shard.shards());
        let key = Key::Part { job };
        let told = head == shard.number() || self.acknowledged.contains(&key);
        Some(Duty {
            key: if told { Key::Told { job } } else { key },
            shard: if told { shard.number() } else { head },
            record: work::Record::Part(part),
        })
    }
}

/// The release of a job's chunks in a shard.
pub fn release(head: &work::Head, shard: id::Shard, shards: u16) -> work::Release {
    work::Release {
        job: head.job,
        intake: head.intake,
        customer: head.customer.clone(),
        service: head.service.clone(),
        chunks: placement::chunks_in(head, shard, shards),
        due: head.due,
        keep_until: head.keep_until,
    }
}

fn missing(job: &Job) -> impl Iterator<Item = id::Shard> {
    let shards = job.head.shards.iter().copied();
    shards.filter(|shard| !job.has_part(*shard))
}

fn unknown(shard: &Shard, epoch: id::Epoch) -> Vec<Duty> {
    let mut chunks: BTreeMap<Key, Vec<work::Completion>> = BTreeMap::new();
    for (item, dispatch) in shard.spent(epoch) {
        let key = Key::Unknown {
            job: item.job,
            chunk: dispatch.chunk,
        };
        let completion = work::Completion {
            item: item.item,
            attempts: UNKNOWN_ATTEMPTS,
            outcome: work::Outcome::Failed {
                code: Code::OutcomeUnknown,
                ran: Ran::Unknown,
                message: "its owner was lost after it may have sent the item".into(),
            },
        };
        chunks.entry(key).or_default().push(completion);
    }
    let duties = chunks.into_iter().filter_map(|(key, completions)| {
        let Key::Unknown { job, chunk } = key else {
            return None;
        };
        Some(Duty {
            key,
            shard: shard.number(),
            record: work::Record::Completed(work::Completed {
                job,
                chunk,
                completions,
            }),
        })
    });
    duties.collect()
}

fn is_live(shard: &Shard, key: Key) -> bool {
    match key {
        Key::Release { job, .. } | Key::Cancel { job, .. } => {
            shard.job(job).is_some_and(|job| !job.finished())
        }
        Key::Part { job } | Key::Told { job } => shard.work(job).is_some_and(|work| !work.told),
        Key::Unknown { .. } => false,
    }
}
