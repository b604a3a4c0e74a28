//! Appends to the log, and handling of their results.

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
    input::{AppendPurpose, Input, PendingReply},
    shard::{answer, failed},
};

/// How long after its deadline the owner of the shard settles an open claim.
const CLAIM_GRACE: Duration = Duration::from_secs(10);

impl Control {
    pub(super) fn append_lease(&mut self, shard: id::Shard, record: lease::Lease) {
        let records = vec![work::Record::Lease(record)];
        self.append_with(
            shard,
            shard,
            records,
            Priority::Reserved,
            AppendPurpose::Lease,
        );
    }

    /// Appends the due records that the owner of the shard has to write to it and to other shards.
    pub(super) fn append_duties(&mut self, shard: id::Shard, now: Instant) {
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
            self.append(shard, to, records, AppendPurpose::Duties(duties));
        }
        if !overdue.is_empty() {
            self.append(shard, shard, overdue, AppendPurpose::Repeated);
        }
    }

    /// Appends buffered completions and dispatches.
    pub(super) fn flush(&mut self, shard: id::Shard, now: Instant) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        let more = followed.running && followed.active_items.running() > 0;
        let completed = followed.outbox.next_batch(more, now);
        let dispatches = followed.dispatches.next_batch();
        if let Some(batch) = completed {
            let records = batch.iter().cloned().map(work::Record::Completed).collect();
            self.append(shard, shard, records, AppendPurpose::Outbox(batch));
        }
        if let Some((dispatches, keys)) = dispatches {
            let records = dispatches.into_iter().map(work::Record::Dispatch).collect();
            self.append(shard, shard, records, AppendPurpose::Dispatch(keys));
        }
    }

    /// Appends to `to` on behalf of the followed shard `shard`.
    pub(super) fn append(
        &self,
        shard: id::Shard,
        to: id::Shard,
        records: Vec<work::Record>,
        purpose: AppendPurpose,
    ) {
        self.append_with(shard, to, records, Priority::Normal, purpose);
    }

    fn append_with(
        &self,
        shard: id::Shard,
        to: id::Shard,
        records: Vec<work::Record>,
        priority: Priority,
        purpose: AppendPurpose,
    ) {
        let writer = self.deps.writer.clone();
        let done = self.task_done.clone();
        let deadline = Instant::now() + self.deps.append_timeout;
        tokio::spawn(async move {
            let stream = Stream::Work(to);
            let result = writer.append_by(stream, records, priority, deadline).await;
            // The control task ends only with the process.
            let _ = done.send(Input::Appended {
                shard,
                purpose,
                result,
            });
        });
    }

    pub(super) fn on_appended(
        &mut self,
        shard: id::Shard,
        purpose: AppendPurpose,
        result: Result<id::Offset, writer::Error>,
    ) {
        self.dirty.insert(shard);
        let Some(followed) = self.shards.get_mut(&shard) else {
            if let AppendPurpose::PendingReply(pending) = purpose {
                answer(
                    pending.reply,
                    tinbank_base::frame::request::Response::NotOwner(None),
                );
            }
            return;
        };
        let now = Instant::now();
        if result.is_ok() {
            followed.contender.observe_append(now);
        }
        match purpose {
            // Their state machines repeat these until the effect is read back.
            AppendPurpose::Lease | AppendPurpose::Repeated => {}
            AppendPurpose::Duties(duties) => {
                if result.is_ok() {
                    for duty in &duties {
                        followed.duties.acknowledged(&followed.fold, duty);
                    }
                }
            }
            AppendPurpose::Outbox(batch) => {
                let failed = if result.is_ok() { Vec::new() } else { batch };
                followed.outbox.on_appended(failed, now);
            }
            AppendPurpose::Dispatch(keys) => {
                let may_stand = result.as_ref().is_err_and(writer::Error::may_stand);
                followed
                    .dispatches
                    .on_appended(&keys, result.is_ok(), may_stand);
            }
            AppendPurpose::PendingReply(pending) => {
                self.reply_when_read_back(shard, *pending, result)
            }
        }
    }

    fn reply_when_read_back(
        &mut self,
        shard: id::Shard,
        pending: PendingReply,
        result: Result<id::Offset, writer::Error>,
    ) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        match result {
            Ok(offset) => followed.pending_replies.push((offset + 1, pending)),
            Err(error) => {
                let ran = if error.may_stand() {
                    Ran::Unknown
                } else {
                    Ran::No
                };
                answer(
                    pending.reply,
                    failed(Code::LogUnavailable, ran, error.to_string()),
                );
            }
        }
    }
}
