//! Records that the owner of a shard must append, to its own and to other shards, and retry until they take effect.

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

/// Attempts reported for an item whose outcome is unknown.
const UNKNOWN_ATTEMPTS: u16 = 1;

/// Identifies a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// Release a job's chunks in a shard.
    Release {
        job: id::Job,
        /// Shard of the chunks.
        shard: id::Shard,
    },
    /// Cancel a job in a shard.
    Cancel {
        job: id::Job,
        /// Shard of the chunks.
        shard: id::Shard,
    },
    /// Report to the shard of a job's head that this shard's part has finished.
    ReportPart { job: id::Job },
    /// Record in this shard that the part was reported.
    RecordReported { job: id::Job },
    /// End items with an unknown outcome: an earlier owner may have sent them, and they must not run twice.
    Unknown {
        job: id::Job,
        /// Chunk number in the job.
        chunk: id::Chunk,
    },
}

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Identifies the duty in [`Duties::acknowledged`].
    pub key: Key,
    /// Shard to append the record to.
    pub shard: id::Shard,
    pub record: work::Record,
}

/// Tracks the owner's duties of one shard and their retries during a term.
///
/// A duty in the owner's own shard is done when its record is read back. A duty in another shard, which the owner
/// does not read, is done when its append is acknowledged. Acknowledgements are kept for one term; the next owner
/// repeats duties that it can't see to be done, which has no effect.
#[derive(Clone, Debug)]
pub struct Duties {
    retry: Duration,
    epoch: Option<id::Epoch>,
    sent: BTreeMap<Key, Instant>,
    acknowledged: BTreeSet<Key>,
}

impl Duties {
    /// Creates a tracker that returns each duty again every `retry` until it is done.
    pub fn new(retry: Duration) -> Self {
        Self {
            retry,
            epoch: None,
            sent: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
        }
    }

    /// Returns the duties to append now. Empty unless `me` holds the shard's lease.
    pub fn due(&mut self, shard: &Shard, me: Writer, now: Instant) -> Vec<Duty> {
        self.start_term(shard.lease().term(me));
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

    /// Records that the append of a duty was acknowledged.
    pub fn acknowledged(&mut self, shard: &Shard, duty: &Duty) {
        if duty.shard != shard.number() && self.sent.contains_key(&duty.key) {
            self.acknowledged.insert(duty.key);
        }
    }

    fn start_term(&mut self, epoch: Option<id::Epoch>) {
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
            self.add_releases(shard, job, &mut open);
            self.add_cancels(shard, job, &mut open);
        }
        for job in shard.live_works() {
            open.extend(self.part_report(shard, job));
        }
        open.extend(unknown_outcomes(shard, epoch));
        open
    }

    fn add_releases(&self, shard: &Shard, job: &Job, open: &mut Vec<Duty>) {
        for to in unfinished_shards(job) {
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

    fn add_cancels(&self, shard: &Shard, job: &Job, open: &mut Vec<Duty>) {
        if !job.cancelled {
            return;
        }
        for to in unfinished_shards(job) {
            let key = Key::Cancel {
                job: job.head.job,
                shard: to,
            };
            // Without its release, the cancel could apply to an earlier, finished intake of the same job.
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

    fn part_report(&self, shard: &Shard, job: id::Job) -> Option<Duty> {
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
        let key = Key::ReportPart { job };
        let reported = head == shard.number() || self.acknowledged.contains(&key);
        Some(Duty {
            key: if reported {
                Key::RecordReported { job }
            } else {
                key
            },
            shard: if reported { shard.number() } else { head },
            record: work::Record::Part(part),
        })
    }
}

/// Returns the release record for a job's chunks in a shard.
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

fn unfinished_shards(job: &Job) -> impl Iterator<Item = id::Shard> {
    let shards = job.head.shards.iter().copied();
    shards.filter(|shard| !job.has_part(*shard))
}

fn unknown_outcomes(shard: &Shard, epoch: id::Epoch) -> Vec<Duty> {
    let mut chunks: BTreeMap<Key, Vec<work::Completion>> = BTreeMap::new();
    for (item, dispatch) in shard.maybe_sent(epoch) {
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
        Key::ReportPart { job } | Key::RecordReported { job } => {
            shard.work(job).is_some_and(|work| !work.reported)
        }
        Key::Unknown { .. } => false,
    }
}
