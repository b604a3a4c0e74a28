//! Questions of peers and of our own HTTP interface.

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
    input::{Ask, Input, PlanWait, Then, Wait, What},
    shard::{answer, failed},
};

impl Control {
    pub(super) fn asked(&mut self, ask: Ask) {
        match ask {
            Ask::Request { request, reply } => self.request(request, reply),
            Ask::Results {
                job,
                shard,
                from,
                past,
                reply,
            } => {
                self.dirty.insert(shard);
                let wait = PlanWait {
                    past,
                    job,
                    from,
                    reply,
                };
                match self
                    .shards
                    .get_mut(&shard)
                    .filter(|followed| followed.answers())
                {
                    Some(followed) => followed.plans.push(wait),
                    // Dropping it tells the asker that the shard is not followed here.
                    None => drop(wait),
                }
            }
        }
    }

    fn request(&mut self, request: Request, reply: oneshot::Sender<Response>) {
        let shards = self.parts.shards;
        match request {
            Request::Job { job } => {
                let shard = placement::shard_of_job(job, shards);
                self.job(shard, job, reply);
            }
            Request::Committed { job, shard, offset } => {
                let then = Then::Committed(job);
                self.wait(shard, offset + 1, Wait { then, reply });
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
                let then = Then::Settled(settled);
                self.append_for(shard, record, Wait { then, reply });
            }
            Request::Pending { customer } => {
                answer(reply, Response::Pending(self.pending(&customer)));
            }
            Request::Results { .. } | Request::Config { .. } => {
                let message = "the request is not one for the owner of a shard";
                answer(reply, failed(Code::Internal, Ran::No, message));
            }
        }
    }

    /// Released items of a customer that have not ended, in the shards that we own.
    fn pending(&self, customer: &str) -> u64 {
        let me = self.parts.me;
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
            .filter(|followed| followed.answers())
        else {
            return answer(reply, Response::NotOwner(None));
        };
        let then = Then::Job(job);
        if followed.fold.job(job).is_some() {
            return answer(reply, followed.respond(&then));
        }
        // "There is none" is only true at the tail as it is now.
        self.ask_tail(shard, Wait { then, reply });
    }

    fn cancel(&mut self, shard: id::Shard, job: id::Job, reply: oneshot::Sender<Response>) {
        let Some(followed) = self
            .shards
            .get(&shard)
            .filter(|followed| followed.answers())
        else {
            return answer(reply, Response::NotOwner(None));
        };
        let known = followed.fold.job(job);
        if let Some(known) = known
            && (known.cancelled || known.finished())
        {
            return answer(reply, Response::Cancelled(known.cancelled));
        }
        let then = Then::Cancelled(job);
        self.append_for(shard, work::Record::Cancel { job }, Wait { then, reply });
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
            .filter(|followed| followed.answers())
        else {
            return answer(reply, Response::NotOwner(None));
        };
        let known = followed.fold.claim_status(&claim);
        let then = Then::Claimed(claim.clone());
        match known {
            // "It still runs" is only true at the tail as it is now: its end may stand behind what was read here.
            Some(Claimed::Running) => return self.ask_tail(shard, Wait { then, reply }),
            Some(claimed) => return answer(reply, Response::Claimed(claimed)),
            None => {}
        }
        let record = work::Record::Claim(claim);
        self.append_for(shard, record, Wait { then, reply });
    }

    /// Appends a record and answers once it is read back.
    fn append_for(&mut self, shard: id::Shard, record: work::Record, wait: Wait) {
        if !self.shards.contains_key(&shard) {
            return answer(wait.reply, Response::NotOwner(None));
        }
        self.append(shard, shard, vec![record], What::Wait(Box::new(wait)));
    }

    fn wait(&mut self, shard: id::Shard, past: id::Offset, wait: Wait) {
        self.dirty.insert(shard);
        match self.shards.get_mut(&shard) {
            Some(followed) => followed.waits.push((past, wait)),
            None => answer(wait.reply, Response::NotOwner(None)),
        }
    }

    fn ask_tail(&self, shard: id::Shard, wait: Wait) {
        let (log, done) = (self.parts.log.clone(), self.done.clone());
        let wait = Box::new(wait);
        self.parts.traffic.spawn(async move {
            let bounds = log.bounds(Stream::Work(shard)).await;
            let result = bounds.map(|bounds| bounds.tail);
            // The control task ends only with the process.
            let _ = done.send(Input::Tail {
                shard,
                result,
                wait,
            });
        });
    }

    pub(super) fn tail_known(
        &mut self,
        shard: id::Shard,
        result: Result<id::Offset, log::Error>,
        wait: Wait,
    ) {
        match result {
            Ok(tail) => self.wait(shard, tail, wait),
            Err(error) => {
                let response = failed(Code::LogUnavailable, Ran::No, error.to_string());
                answer(wait.reply, response);
            }
        }
    }
}
