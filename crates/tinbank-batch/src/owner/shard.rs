//! State of one followed shard: its fold, this process's role in its lease, and its active items.

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
    active_items::ActiveItems,
    dispatches::Dispatches,
    input::{PendingPlan, PendingReply, ReplyKind, ResultPlan},
    outbox::Outbox,
    upkeep::Upkeep,
};
use crate::runner::task::{Key, Permit, RunMode};

/// Delay before a duty whose append had no effect yet is appended again.
const DUTY_RETRY: Duration = Duration::from_secs(2);

/// Maximum chunks in one reply with results, to bound its size.
const MAX_CHUNKS: usize = 4;

/// A followed shard.
#[derive(Debug)]
pub(super) struct FollowedShard {
    pub(super) fold: Shard,
    pub(super) contender: Contender,
    pub(super) duties: Duties,
    pub(super) active_items: ActiveItems,
    pub(super) outbox: Outbox,
    pub(super) dispatches: Dispatches,
    /// Rank of this process for the shard.
    pub(super) rank: Option<u32>,
    /// Generation of the reader, to ignore events of an earlier one.
    pub(super) generation: u64,
    /// Whether the fold has reached the tail at least once; before, it may miss old records.
    pub(super) caught_up: bool,
    /// Whether appends succeed while reads have not reached the tail for long.
    pub(super) reads_stalled: bool,
    /// Whether reads of the shard succeed.
    pub(super) readable: bool,
    /// Whether new items may be started: this process holds the lease and is not about to release it.
    pub(super) running: bool,
    /// Search for a checkpoint, if the stream was trimmed.
    pub(super) recovery: Option<Recovery>,
    /// Offset of the first remaining record when the stream was found to be trimmed.
    pub(super) first: id::Offset,
    pub(super) pending_replies: Vec<(id::Offset, PendingReply)>,
    pub(super) pending_plans: Vec<PendingPlan>,
    pub(super) upkeep: Upkeep,
    reader: AbortHandle,
}

impl Drop for FollowedShard {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl FollowedShard {
    pub(super) fn new(
        shard: id::Shard,
        shards: id::Shard,
        me: Writer,
        terms: Timings,
        retention: Duration,
        generation: u64,
        reader: AbortHandle,
    ) -> Self {
        Self {
            fold: Shard::new(shard, shards),
            contender: Contender::new(me, terms),
            duties: Duties::new(DUTY_RETRY),
            active_items: ActiveItems::default(),
            outbox: Outbox::default(),
            dispatches: Dispatches::default(),
            rank: None,
            generation,
            caught_up: false,
            reads_stalled: false,
            readable: true,
            running: false,
            recovery: None,
            first: 0,
            pending_replies: Vec::new(),
            pending_plans: Vec::new(),
            upkeep: Upkeep::new(retention),
            reader,
        }
    }

    /// Returns the next step for the lease.
    pub(super) fn step(&mut self, stopping: bool, now: Instant) -> Step {
        self.reads_stalled = self.contender.is_read_stalled(now);
        // While reads are stalled, appended completions are not read back before the lease is released.
        let items = match self.reads_stalled {
            true => self.active_items.running(),
            false => self.active_items.in_flight(),
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

    /// Returns whether the fold is current enough to answer requests.
    pub(super) fn can_answer(&self) -> bool {
        self.caught_up && !self.reads_stalled
    }

    /// Returns the current term, if this process holds the lease.
    pub(super) fn epoch(&self, me: Writer) -> Option<id::Epoch> {
        self.fold.lease().term(me)
    }

    /// Returns whether this process has nothing left in the shard and can stop following it.
    pub(super) fn is_idle(&self, me: Writer) -> bool {
        self.epoch(me).is_none()
            && self.active_items.in_flight() == 0
            && self.outbox.is_empty()
            && self.pending_replies.is_empty()
    }

    /// Applies a change of the fold to the active items.
    pub(super) fn apply_change(&mut self, change: &Change, me: Writer) {
        match change {
            Change::Lease(lease::Change::Taken(holder)) if holder.writer != me => self.drop_all(),
            Change::Cancelled(job) => {
                self.active_items.drop_job(*job);
                self.outbox.drop_job(*job);
            }
            Change::Completed { job, chunk, items } => {
                self.active_items.on_read_back(*job, *chunk, items)
            }
            _ => {}
        }
    }

    /// Drops all items, because another owner runs them now.
    fn drop_all(&mut self) {
        self.running = false;
        self.active_items.drop_all();
        self.dispatches.drop_all();
    }

    /// Returns whether a non-repeatable item may be sent; `None` until its dispatch is read back.
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

    /// Replies to the dispatch requests that the fold has decided.
    pub(super) fn decide_dispatches(&mut self, me: Writer) {
        for key in self.dispatches.keys() {
            if let Some(permit) = self.permit(key, me) {
                self.dispatches.answer(key, permit);
            }
        }
    }

    /// Sends the pending replies whose offset the fold has reached.
    pub(super) fn send_replies(&mut self) {
        let next = self.fold.next();
        let pending_replies = std::mem::take(&mut self.pending_replies);
        for (past, pending) in pending_replies {
            if pending.reply.is_closed() {
                continue;
            }
            if past > next {
                self.pending_replies.push((past, pending));
                continue;
            }
            let response = self.reply(&pending.kind);
            answer(pending.reply, response);
        }
    }

    /// Sends the pending result plans whose offset the fold has reached.
    pub(super) fn send_plans(&mut self) {
        let next = self.fold.next();
        for pending in std::mem::take(&mut self.pending_plans) {
            if pending.reply.is_closed() {
                continue;
            }
            if pending.past > next {
                self.pending_plans.push(pending);
                continue;
            }
            let plan = self.plan(pending.job, pending.from);
            // The requester may have disconnected.
            let _ = pending.reply.send(Some(plan));
        }
    }

    fn plan(&self, job: id::Job, from: id::Chunk) -> ResultPlan {
        let Some(work) = self.fold.work(job) else {
            return ResultPlan::default();
        };
        let wanted = work.chunks().iter().filter(|chunk| chunk.chunk >= from);
        ResultPlan {
            chunks: wanted.take(MAX_CHUNKS).cloned().collect(),
            count: work.count(),
        }
    }

    /// Builds a reply from the current fold.
    pub(super) fn reply(&self, kind: &ReplyKind) -> Response {
        match kind {
            ReplyKind::Job(job) => Response::Job(self.fold.status(*job)),
            ReplyKind::Committed(job) => {
                let head = self.fold.job(*job).map(|job| job.head.clone());
                Response::Committed(head)
            }
            ReplyKind::Cancelled(job) => {
                let cancelled = self.fold.job(*job).is_some_and(|job| job.cancelled);
                Response::Cancelled(cancelled)
            }
            ReplyKind::Claimed(claim) => match self.fold.claim_status(claim) {
                Some(claimed) => Response::Claimed(claimed),
                None => failed(Code::LogUnavailable, Ran::No, "the claim was not read back"),
            },
            ReplyKind::Settled(settled) => Response::Settled(self.fold.claims().settled(settled)),
        }
    }

    /// Returns settlements for claims that are past their deadline and the grace period.
    pub(super) fn overdue_claims(&self, wall: SystemTime, grace: Duration) -> Vec<work::Record> {
        let overdue = self.fold.claims().overdue(wall, grace, |_| false);
        overdue.into_iter().map(work::Record::Settled).collect()
    }

    /// Sets the run mode of all items. Returns whether the runner has to return some.
    pub(super) fn set_run_mode(&mut self, run_mode: RunMode) -> bool {
        self.running = run_mode == RunMode::Run;
        self.active_items.set_run_mode(run_mode) && run_mode != RunMode::Run
    }
}

/// Sends a reply, ignoring a requester that has disconnected.
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
