//! What we append to the log, and what becomes of it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};

use tinbank_base::{
    id,
    outcome::{Code, Ran},
    platform::log::Stream,
    record::{lease, work},
};
use tinbank_ledger::duty::Duty;
use tinbank_log::{budget::Priority, writer};

use super::{
    control::Control,
    input::{Input, Wait, What},
    shard::{answer, failed},
};

/// How long after its deadline an open claim is ended by the owner of its shard.
const CLAIM_GRACE: Duration = Duration::from_secs(10);

impl Control {
    pub(super) fn append_lease(&mut self, shard: id::Shard, record: lease::Lease) {
        let records = vec![work::Record::Lease(record)];
        self.append_with(shard, shard, records, Priority::Reserved, What::Lease);
    }

    /// Appends what the owner of the shard owes it and others.
    pub(super) fn do_duties(&mut self, shard: id::Shard, now: Instant) {
        let me = self.deps.me;
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        let due = followed.duties.due(&followed.fold, me, now);
        let overdue = followed.overdue_claims(SystemTime::now(), CLAIM_GRACE);
        let mut by_target: BTreeMap<id::Shard, Vec<Duty>> = BTreeMap::new();
        for duty in due {
            by_target.entry(duty.shard).or_default().push(duty);
        }
        for (to, duties) in by_target {
            let records = duties.iter().map(|duty| duty.record.clone()).collect();
            self.append(shard, to, records, What::Duties(duties));
        }
        if !overdue.is_empty() {
            self.append(shard, shard, overdue, What::Repeated);
        }
    }

    /// Appends completions and dispatches that have gathered.
    pub(super) fn flush(&mut self, shard: id::Shard, now: Instant) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        let more = followed.running && followed.hand.running() > 0;
        let completed = followed.outbox.take(more, now);
        let dispatches = followed.dispatches.take();
        if let Some(batch) = completed {
            let records = batch.iter().cloned().map(work::Record::Completed).collect();
            self.append(shard, shard, records, What::Outbox(batch));
        }
        if let Some((dispatches, keys)) = dispatches {
            let records = dispatches.into_iter().map(work::Record::Dispatch).collect();
            self.append(shard, shard, records, What::Dispatch(keys));
        }
    }

    /// Appends to `to` on behalf of the followed shard `shard`.
    pub(super) fn append(
        &self,
        shard: id::Shard,
        to: id::Shard,
        records: Vec<work::Record>,
        what: What,
    ) {
        self.append_with(shard, to, records, Priority::Normal, what);
    }

    fn append_with(
        &self,
        shard: id::Shard,
        to: id::Shard,
        records: Vec<work::Record>,
        priority: Priority,
        what: What,
    ) {
        let writer = self.deps.writer.clone();
        let done = self.done.clone();
        let deadline = Instant::now() + self.deps.append_timeout;
        tokio::spawn(async move {
            let stream = Stream::Work(to);
            let result = writer.append_by(stream, records, priority, deadline).await;
            // The control task ends only with the process.
            let _ = done.send(Input::Appended {
                shard,
                what,
                result,
            });
        });
    }

    pub(super) fn appended(
        &mut self,
        shard: id::Shard,
        what: What,
        result: Result<id::Offset, writer::Error>,
    ) {
        self.dirty.insert(shard);
        let Some(followed) = self.shards.get_mut(&shard) else {
            if let What::Wait(wait) = what {
                answer(
                    wait.reply,
                    tinbank_base::frame::request::Response::NotOwner(None),
                );
            }
            return;
        };
        let now = Instant::now();
        if result.is_ok() {
            followed.contender.observe_append(now);
        }
        match what {
            // Each is given again by its state machine until its effect is read.
            What::Lease | What::Repeated => {}
            What::Duties(duties) => {
                if result.is_ok() {
                    for duty in &duties {
                        followed.duties.acknowledged(&followed.fold, duty);
                    }
                }
            }
            What::Outbox(batch) => {
                let failed = if result.is_ok() { Vec::new() } else { batch };
                followed.outbox.done(failed, now);
            }
            What::Dispatch(keys) => {
                let may_stand = result.as_ref().is_err_and(writer::Error::may_stand);
                followed.dispatches.done(&keys, result.is_ok(), may_stand);
            }
            What::Wait(wait) => self.wait_appended(shard, *wait, result),
        }
    }

    fn wait_appended(
        &mut self,
        shard: id::Shard,
        wait: Wait,
        result: Result<id::Offset, writer::Error>,
    ) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        match result {
            Ok(offset) => followed.waits.push((offset + 1, wait)),
            Err(error) => {
                let ran = if error.may_stand() {
                    Ran::Unknown
                } else {
                    Ran::No
                };
                answer(
                    wait.reply,
                    failed(Code::LogUnavailable, ran, error.to_string()),
                );
            }
        }
    }
}
