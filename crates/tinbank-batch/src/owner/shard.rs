//! One followed shard: its fold, our part in its lease, and what we have in hand of it.

use std::time::{Duration, Instant, SystemTime};

use tinbank_base::{
    frame::request::Response,
    id,
    outcome::{Code, Ran},
    record::{Writer, work},
};
use tinbank_ledger::{
    Change,
    checkpoint::Recovery,
    duty::Duties,
    lease::{self, Contender, Step, Timings, Want},
    shard::{Item, Sending, Shard},
};
use tokio::{sync::oneshot, task::AbortHandle};

use super::{
    dispatches::Dispatches,
    hand::Hand,
    input::{Plan, PlanWait, Then, Wait},
    outbox::Outbox,
    upkeep::Upkeep,
};
use crate::runner::task::{Key, Permit, Stop};

/// How long a duty's append may stay without effect before it is appended again.
const DUTY_RETRY: Duration = Duration::from_secs(2);

/// Most chunks whose results one answer holds, so that it stays small.
const CHUNKS_AT_ONCE: usize = 4;

/// A followed shard.
#[derive(Debug)]
pub(super) struct Followed {
    pub(super) fold: Shard,
    pub(super) contender: Contender,
    pub(super) duties: Duties,
    pub(super) hand: Hand,
    pub(super) outbox: Outbox,
    pub(super) dispatches: Dispatches,
    /// Our place in its rank.
    pub(super) rank: Option<u32>,
    /// Which following it is.
    pub(super) following: u64,
    /// Whether the fold has ever been at the tail: before, it may miss what long stands in the log.
    pub(super) current: bool,
    /// Whether the log takes our appends while our reads have long not been at the tail.
    pub(super) deaf: bool,
    /// Whether the log answers reads of the shard.
    pub(super) readable: bool,
    /// Whether new items may be started: we hold the lease and are not about to give it back.
    pub(super) running: bool,
    /// Seeks a checkpoint, if the stream's first records are gone.
    pub(super) recovery: Option<Recovery>,
    /// Offset of the first record that was left when the stream was found trimmed.
    pub(super) first: id::Offset,
    pub(super) waits: Vec<(id::Offset, Wait)>,
    pub(super) plans: Vec<PlanWait>,
    pub(super) upkeep: Upkeep,
    reader: AbortHandle,
}

impl Drop for Followed {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl Followed {
    pub(super) fn new(
        shard: id::Shard,
        shards: id::Shard,
        me: Writer,
        terms: Timings,
        retention: Duration,
        following: u64,
        reader: AbortHandle,
    ) -> Self {
        Self {
            fold: Shard::new(shard, shards),
            contender: Contender::new(me, terms),
            duties: Duties::new(DUTY_RETRY),
            hand: Hand::default(),
            outbox: Outbox::default(),
            dispatches: Dispatches::default(),
            rank: None,
            following,
            current: false,
            deaf: false,
            readable: true,
            running: false,
            recovery: None,
            first: 0,
            waits: Vec::new(),
            plans: Vec::new(),
            upkeep: Upkeep::new(retention),
            reader,
        }
    }

    /// What to do about the lease now.
    pub(super) fn step(&mut self, stopping: bool, now: Instant) -> Step {
        self.deaf = self.contender.is_read_stalled(now);
        // What a deaf holder has appended will not be read back before it has let go.
        let items = match self.deaf {
            true => self.hand.running(),
            false => self.hand.in_flight(),
        };
        let in_flight = items + usize::from(!self.outbox.is_empty());
        let want = Want {
            rank: self.rank,
            live: self.fold.live() || self.upkeep.due.is_some(),
            stopping,
            in_flight,
        };
        let lease = *self.fold.lease();
        self.contender.step(&lease, want, now)
    }

    /// Whether others' questions can be answered by the fold.
    pub(super) fn answers(&self) -> bool {
        self.current && !self.deaf
    }

    /// Our term, if we hold the lease.
    pub(super) fn epoch(&self, me: Writer) -> Option<id::Epoch> {
        self.fold.lease().term(me)
    }

    /// Whether it can be left: nothing of ours is in it.
    pub(super) fn is_idle(&self, me: Writer) -> bool {
        self.epoch(me).is_none()
            && self.hand.in_flight() == 0
            && self.outbox.is_empty()
            && self.waits.is_empty()
    }

    /// Takes in what a record changed.
    pub(super) fn changed(&mut self, change: &Change, me: Writer) {
        match change {
            Change::Lease(lease::Change::Taken(holder)) if holder.writer != me => self.drop_all(),
            Change::Cancelled(job) => {
                self.hand.drop_job(*job);
                self.outbox.drop_job(*job);
            }
            Change::Completed { job, chunk, items } => self.hand.read_back(*job, *chunk, items),
            _ => {}
        }
    }

    /// Lets go of all items, for another owner runs them now.
    fn drop_all(&mut self) {
        self.running = false;
        self.hand.drop_all();
        self.dispatches.drop_all();
    }

    /// Says whether an item that may not be repeated may be sent; `None`: not before its dispatch is read back.
    pub(super) fn permit(&self, key: Key, me: Writer) -> Option<Permit> {
        if self.epoch(me) != Some(key.epoch) {
            return Some(Permit::Never);
        }
        match self.sending(key, false) {
            Sending::Yes => Some(Permit::Send),
            Sending::DispatchFirst => None,
            Sending::MaybeSent | Sending::Ended => Some(Permit::Never),
        }
    }

    pub(super) fn sending(&self, key: Key, repeatable: bool) -> Sending {
        let item = Item {
            chunk: key.chunk,
            item: key.item,
            repeatable,
        };
        self.fold.sending(key.job, item, key.epoch)
    }

    /// Answers asked dispatches that the fold has decided.
    pub(super) fn decide_dispatches(&mut self, me: Writer) {
        for key in self.dispatches.keys() {
            if let Some(permit) = self.permit(key, me) {
                self.dispatches.answer(key, permit);
            }
        }
    }

    /// Answers those that wait for as much as has been folded.
    pub(super) fn answer_waits(&mut self) {
        let next = self.fold.next();
        let waits = std::mem::take(&mut self.waits);
        for (past, wait) in waits {
            if wait.reply.is_closed() {
                continue;
            }
            if past > next {
                self.waits.push((past, wait));
                continue;
            }
            let response = self.respond(&wait.then);
            answer(wait.reply, response);
        }
    }

    /// Answers questions for results for which enough has been folded.
    pub(super) fn answer_plans(&mut self) {
        let next = self.fold.next();
        for wait in std::mem::take(&mut self.plans) {
            if wait.reply.is_closed() {
                continue;
            }
            if wait.past > next {
                self.plans.push(wait);
                continue;
            }
            let plan = self.plan(wait.job, wait.from);
            // Whoever asked may have gone away.
            let _ = wait.reply.send(Some(plan));
        }
    }

    fn plan(&self, job: id::Job, from: id::Chunk) -> Plan {
        let Some(work) = self.fold.work(job) else {
            return Plan::default();
        };
        let wanted = work.chunks().iter().filter(|chunk| chunk.chunk >= from);
        Plan {
            chunks: wanted.take(CHUNKS_AT_ONCE).cloned().collect(),
            count: work.count(),
        }
    }

    /// The answer that the fold gives now.
    pub(super) fn respond(&self, then: &Then) -> Response {
        match then {
            Then::Job(job) => Response::Job(self.fold.status(*job)),
            Then::Committed(job) => {
                let head = self.fold.job(*job).map(|job| job.head.clone());
                Response::Committed(head)
            }
            Then::Cancelled(job) => {
                let cancelled = self.fold.job(*job).is_some_and(|job| job.cancelled);
                Response::Cancelled(cancelled)
            }
            Then::Claimed(claim) => match self.fold.claim_status(claim) {
                Some(claimed) => Response::Claimed(claimed),
                None => failed(Code::LogUnavailable, Ran::No, "the claim was not read back"),
            },
            Then::Settled(settled) => Response::Settled(self.fold.claims().settled(settled)),
        }
    }

    /// Settlements that end claims of processes that are gone.
    pub(super) fn overdue_claims(&self, wall: SystemTime, grace: Duration) -> Vec<work::Record> {
        let overdue = self.fold.claims().overdue(wall, grace, |_| false);
        overdue.into_iter().map(work::Record::Settled).collect()
    }

    /// Stops or continues the sending of items; `true` if the runner has to give some back.
    pub(super) fn set(&mut self, stop: Stop) -> bool {
        self.running = stop == Stop::Go;
        self.hand.set(stop) && stop != Stop::Go
    }
}

/// Answers; whoever asked may have gone away.
pub(super) fn answer(reply: oneshot::Sender<Response>, response: Response) {
    let _ = reply.send(response);
}

pub(super) fn failed(code: Code, ran: Ran, message: impl Into<String>) -> Response {
    Response::Failed {
        code,
        ran,
        message: message.into(),
    }
}
