//! Requests from peers and from this process's HTTP interface.

use tinbank_base::{
    frame::request::{Claimed, Request, Response},
    id,
    outcome::{Code, Ran},
    platform::log::{self, Stream},
    record::work,
};
use tinbank_ledger::placement;
use tokio::sync::oneshot;

use super::{
    control::Control,
    input::{AppendPurpose, Input, OwnerRequest, PendingPlan, PendingReply, ReplyKind},
    shard::{answer, failed},
};

impl Control {
    pub(super) fn on_request(&mut self, owner_request: OwnerRequest) {
        match owner_request {
            OwnerRequest::Request { request, reply } => self.request(request, reply),
            OwnerRequest::Results {
                job,
                shard,
                from,
                past,
                reply,
            } => {
                self.dirty.insert(shard);
                let pending = PendingPlan {
                    past,
                    job,
                    from,
                    reply,
                };
                match self
                    .shards
                    .get_mut(&shard)
                    .filter(|followed| followed.can_answer())
                {
                    Some(followed) => followed.pending_plans.push(pending),
                    // Dropping the sender signals that the shard is not followed here.
                    None => drop(pending),
                }
            }
        }
    }

    fn request(&mut self, request: Request, reply: oneshot::Sender<Response>) {
        let shards = self.deps.shards;
        match request {
            Request::Job { job } => {
                let shard = placement::shard_of_job(job, shards);
                self.job(shard, job, reply);
            }
            Request::Committed { job, shard, offset } => {
                let kind = ReplyKind::Committed(job);
                self.reply_at(shard, offset + 1, PendingReply { kind, reply });
            }
            Request::Cancel { job } => {
                let shard = placement::shard_of_job(job, shards);
                self.cancel(shard, job, reply);
            }
            Request::Claim(claim) => {
                let shard = placement::shard_of_claim(claim.key, shards);
                self.claim(shard, claim, reply);
            }
            Request::Settle(settled) => {
                let shard = placement::shard_of_claim(settled.key, shards);
                let record = work::Record::Settled(settled.clone());
                let kind = ReplyKind::Settled(settled);
                self.append_for(shard, record, PendingReply { kind, reply });
            }
            Request::Pending { customer } => {
                answer(reply, Response::Pending(self.pending(&customer)));
            }
            Request::Results { .. } | Request::Config { .. } | Request::LeavingUpstreams => {
                let message = "the request is not one for the owner of a shard";
                answer(reply, failed(Code::Internal, Ran::No, message));
            }
        }
    }

    /// Returns the customer's released items that have not ended, in the shards owned by this process.
    fn pending(&self, customer: &str) -> u64 {
        let me = self.deps.me;
        let owned = self.shards.values();
        let owned = owned.filter(|followed| followed.epoch(me).is_some());
        let works = owned.flat_map(|followed| followed.fold.works());
        let of_customer = works.filter(|(_, work)| {
            let release = work.release.as_ref();
            !work.cancelled && release.is_some_and(|release| release.customer == customer)
        });
        of_customer
            .map(|(_, work)| u64::from(work.count().pending))
            .sum()
    }

    fn job(&mut self, shard: id::Shard, job: id::Job, reply: oneshot::Sender<Response>) {
        let Some(followed) = self
            .shards
            .get(&shard)
            .filter(|followed| followed.can_answer())
        else {
            return answer(reply, Response::NotOwner(None));
        };
        let kind = ReplyKind::Job(job);
        if followed.fold.job(job).is_some() {
            return answer(reply, followed.reply(&kind));
        }
        // The job is known to be absent only once the fold has reached the current tail.
        self.await_tail(shard, PendingReply { kind, reply });
    }

    fn cancel(&mut self, shard: id::Shard, job: id::Job, reply: oneshot::Sender<Response>) {
        let Some(followed) = self
            .shards
            .get(&shard)
            .filter(|followed| followed.can_answer())
        else {
            return answer(reply, Response::NotOwner(None));
        };
        let known = followed.fold.job(job);
        if let Some(known) = known
            && (known.cancelled || known.finished())
        {
            return answer(reply, Response::Cancelled(known.cancelled));
        }
        let kind = ReplyKind::Cancelled(job);
        self.append_for(
            shard,
            work::Record::Cancel { job },
            PendingReply { kind, reply },
        );
    }

    fn claim(
        &mut self,
        shard: id::Shard,
        claim: tinbank_base::record::claim::Claim,
        reply: oneshot::Sender<Response>,
    ) {
        let Some(followed) = self
            .shards
            .get(&shard)
            .filter(|followed| followed.can_answer())
        else {
            return answer(reply, Response::NotOwner(None));
        };
        let known = followed.fold.claim_status(&claim);
        let kind = ReplyKind::Claimed(claim.clone());
        match known {
            // The settlement may be in the log beyond what was read, so "running" is valid only at the current tail.
            Some(Claimed::Running) => return self.await_tail(shard, PendingReply { kind, reply }),
            Some(claimed) => return answer(reply, Response::Claimed(claimed)),
            None => {}
        }
        let record = work::Record::Claim(claim);
        self.append_for(shard, record, PendingReply { kind, reply });
    }

    /// Appends a record and replies once it is read back.
    fn append_for(&mut self, shard: id::Shard, record: work::Record, pending: PendingReply) {
        if !self.shards.contains_key(&shard) {
            return answer(pending.reply, Response::NotOwner(None));
        }
        self.append(
            shard,
            shard,
            vec![record],
            AppendPurpose::PendingReply(Box::new(pending)),
        );
    }

    fn reply_at(&mut self, shard: id::Shard, past: id::Offset, pending: PendingReply) {
        self.dirty.insert(shard);
        match self.shards.get_mut(&shard) {
            Some(followed) => followed.pending_replies.push((past, pending)),
            None => answer(pending.reply, Response::NotOwner(None)),
        }
    }

    fn await_tail(&self, shard: id::Shard, pending: PendingReply) {
        let (log, done) = (self.deps.log.clone(), self.task_done.clone());
        let pending = Box::new(pending);
        self.deps.traffic.spawn(async move {
            let bounds = log.bounds(Stream::Work(shard)).await;
            let result = bounds.map(|bounds| bounds.tail);
            // The control task ends only with the process.
            let _ = done.send(Input::Tail {
                shard,
                result,
                pending,
            });
        });
    }

    pub(super) fn on_tail(
        &mut self,
        shard: id::Shard,
        result: Result<id::Offset, log::Error>,
        pending: PendingReply,
    ) {
        match result {
            Ok(tail) => self.reply_at(shard, tail, pending),
            Err(error) => {
                let response = failed(Code::LogUnavailable, Ran::No, error.to_string());
                answer(pending.reply, response);
            }
        }
    }
}
