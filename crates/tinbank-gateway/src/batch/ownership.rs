//! Ownership of job partitions: members of a group at the store divide the partitions, and run the jobs of their own.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tinbank_jobs::{
    job::Job,
    partitions::{Partitions, Revoked},
    record::{JobId, Offset, Record, Takeover, TakeoverId},
};
use tinbank_relay::route::Config;
use tokio::time;

use super::partition;
use crate::{
    border::store::{Membership, Topic, TopicPartition},
    dependency::Dependency,
    identity,
    node::Node,
    region,
};

/// Time without a join call after which a member is removed, unless the store's minimum is longer.
const MEMBER_TTL: Duration = Duration::from_secs(2);
/// Join calls per TTL.
const JOINS_PER_TTL: u32 = 4;
/// Pause before the next join call when partitions were revoked, in which their last checkpoints are written.
const CHECKPOINT_TIME: Duration = Duration::from_millis(150);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long an overloaded host starts no items before it leaves the group, or runs one at a time. A shorter overload is over
/// before other members have taken over.
pub(super) const OVERLOAD_TOLERANCE: Duration = Duration::from_secs(3);
/// Maximum time for which an overloaded host stays out of the group, so that another one may leave.
const MAX_ABSENCE: Duration = Duration::from_secs(15);
/// Time between two checks whether the overload is over.
const ABSENCE_CHECK: Duration = Duration::from_millis(100);

/// Membership of the process in the group, and the partitions assigned to it.
#[derive(Default)]
pub(super) struct Ownership {
    partitions: RefCell<Partitions>,
    /// Generation of the group at the last join call.
    generation: Cell<u64>,
    renewed_at: Cell<Option<Instant>>,
    is_member: Cell<bool>,
    /// When the process began to join the group.
    member_since: Cell<Option<Instant>>,
}

impl Ownership {
    /// Returns whether the membership was renewed recently enough that no other process has taken over.
    fn is_renewed(&self, ttl: Duration) -> bool {
        let renewed = self.renewed_at.get();
        renewed.is_some_and(|at| at.elapsed() < ttl + CALL_TIMEOUT)
    }

    /// Returns whether the process has begun to join the group and has not left it.
    pub fn is_member(&self) -> bool {
        self.is_member.get()
    }

    fn begin_membership(&self) {
        self.is_member.set(true);
        self.member_since.set(Some(Instant::now()));
    }

    /// Handles the record of a takeover in the log.
    pub fn on_taken_over(&self, takeover: TakeoverId, offset: Offset) {
        let mut partitions = self.partitions.borrow_mut();
        if partitions.awaits(takeover) {
            log::info!(takeover, offset; "takeover of partitions is in the log, their items may start");
            partitions.on_taken_over(takeover);
        }
    }

    /// Treats the membership as expired until the next join call.
    pub fn invalidate(&self) {
        self.renewed_at.set(None);
    }
}

/// Returns whether this process owns a job.
pub(super) fn owns(node: &Node, job: &JobId) -> bool {
    let partition = partition(job, node.settings.store.partitions);
    let ownership = &node.batch.ownership;
    ownership.is_renewed(ttl(node)) && ownership.partitions.borrow().owns(partition)
}

/// Returns whether this process is responsible for the items of a job now. The owner of a partition may be in any region, so
/// the items of a job that is restricted to some regions are run by a delegate there. If there is none, the owner abandons
/// them when they expire.
pub(super) fn may_start(node: &Node, config: &Config, job: &Job) -> bool {
    let allowed = region::of_job(config, job);
    if !allowed.is_all() {
        let now = Instant::now();
        let regions = &node.settings.regions;
        let runs = node
            .sharing
            .runs_restricted(&job.id, regions, &allowed, now);
        if let Some(runs) = runs {
            return runs;
        }
    }
    let partition = partition(&job.id, node.settings.store.partitions);
    let ownership = &node.batch.ownership;
    let now = Instant::now();
    ownership.is_renewed(ttl(node)) && ownership.partitions.borrow().may_start(partition, now)
}

fn ttl(node: &Node) -> Duration {
    MEMBER_TTL.max(node.settings.store.min_member_ttl)
}

/// Keeps the process in the group until it leaves.
pub(super) async fn maintain(node: Rc<Node>) {
    create_topic(&node).await;
    let mut dependency = Dependency::new("group");
    node.batch.ownership.begin_membership();
    while node.batch.ownership.is_member() {
        if must_leave_items(&node) {
            leave_while_overloaded(&node).await;
            continue;
        }
        let mut pause = ttl(&node) / JOINS_PER_TTL;
        match join(&node).await {
            Ok(revoked) => {
                dependency.record_success();
                if stop_revoked(&node, &revoked) {
                    pause = CHECKPOINT_TIME;
                }
            }
            Err(error) => {
                dependency.record_failure(&error);
                stop_if_expired(&node);
            }
        }
        time::sleep(pause).await;
    }
}

/// Returns whether this process owns all partitions, so that no other one runs items.
fn is_only_owner(node: &Node) -> bool {
    let owned = node.batch.ownership.partitions.borrow().iter().count();
    owned == node.settings.store.partitions as usize
}

/// Returns whether an overloaded host leaves its items to other members of the group. It needs the permission to withdraw, so
/// that the members do not leave all at once, and stays for some time, in which it learns whether there are others.
fn must_leave_items(node: &Node) -> bool {
    let now = Instant::now();
    let since = node.batch.ownership.member_since.get();
    let is_settled = since.is_some_and(|since| now >= since + OVERLOAD_TOLERANCE);
    // A host that already returns from the deeper levels keeps its items, although its permission still lasts.
    let is_overloaded = node.overload.closes_connections()
        && node.overload.has_shed_items_for(OVERLOAD_TOLERANCE, now);
    let may_leave = node.sharing.may_withdraw(now) && !is_only_owner(node);
    is_settled && is_overloaded && may_leave
}

/// Leaves the group until the overload is over.
async fn leave_while_overloaded(node: &Node) {
    log::info!("overloaded, items left to other hosts");
    super::runner::drain(node).await;
    leave(node).await;
    let until = Instant::now() + MAX_ABSENCE;
    while !node.overload.takes_items() && Instant::now() < until {
        time::sleep(ABSENCE_CHECK).await;
    }
    if !node.stop.is_stopping() {
        node.batch.ownership.begin_membership();
    }
}

/// Stops the items of revoked partitions, and returns whether there are any such partitions. The store assigns them to
/// another member only after this process has joined again, so the runs can be checkpointed before.
fn stop_revoked(node: &Node, revoked: &Revoked) -> bool {
    if revoked.is_empty() {
        return false;
    }
    let partitions = node.settings.store.partitions;
    let stopped = node
        .batch
        .runner
        .stop_jobs(|job| revoked.contains(&partition(job, partitions)));
    log::info!(partitions:? = revoked.as_slice(), items = stopped; "partitions lost, their items stop here");
    true
}

/// Stops all items if the membership has expired and another host reaches the store, since another member then runs them.
/// If no host reaches the store, no member has taken over and the items go on.
fn stop_if_expired(node: &Node) {
    let ownership = &node.batch.ownership;
    let silent = ownership.renewed_at.get().map(|at| at.elapsed());
    let Some(silent) = silent.filter(|silent| *silent >= ttl(node)) else {
        return;
    };
    let Some(host) = node.sharing.host_with_store(Instant::now()) else {
        return;
    };
    let silent_ms = silent.as_millis() as u64;
    log::warn!(silent_ms, host:%; "store reached by another host but not by this one, all items stop here");
    ownership.invalidate();
    node.batch.runner.stop_all();
}

/// Leaves the group, so that its other members get the partitions at once.
pub(super) async fn leave(node: &Node) {
    node.batch.ownership.is_member.set(false);
    node.batch.ownership.invalidate();
    node.batch.ownership.partitions.take();
    let membership = membership(node);
    // A later join starts as a new member.
    node.batch.ownership.generation.set(0);
    let until = Instant::now() + CALL_TIMEOUT;
    match node.store.leave(&membership, until).await {
        Ok(()) => log::info!("group at the store left"),
        Err(error) => {
            log::warn!(error:%; "cannot leave the group at the store, the membership will expire")
        }
    }
}

/// Appends a first record, since the store creates a topic with its first record.
async fn create_topic(node: &Node) {
    let place = TopicPartition {
        topic: Topic::Owners,
        partition: 0,
    };
    loop {
        let until = Instant::now() + CALL_TIMEOUT;
        let record = Bytes::from_static(b"created");
        match node.store.append(place, &[record], until).await {
            Ok(_) => return,
            Err(error) => log::info!(error:%; "topic of the group not created yet"),
        }
        node.retry.backoff().await;
    }
}

/// Joins the group or renews the membership, and returns the partitions that were revoked since the last call.
async fn join(node: &Node) -> Result<Revoked, crate::border::store::Error> {
    let membership = membership(node);
    let called_at = Instant::now();
    let until = called_at + CALL_TIMEOUT;
    let assignment = node.store.join(&membership, until).await?;
    let ownership = &node.batch.ownership;
    let renewed_at = ownership.renewed_at.replace(Some(called_at));
    let has_lapsed = renewed_at.is_none_or(|at| at.elapsed() >= ttl(node));
    ownership.generation.set(assignment.generation);
    let mut partitions = ownership.partitions.borrow_mut();
    let before: Vec<u32> = partitions.iter().collect();
    let takeover = identity::random_id();
    if has_lapsed {
        partitions.take_over_again(takeover);
    }
    let revoked = partitions.assign(&assignment.partitions, takeover, Instant::now());
    if partitions.awaits(takeover) {
        write_takeover(node, takeover);
    }
    if before != assignment.partitions {
        log::info!(
            generation = assignment.generation,
            partitions:? = assignment.partitions;
            "partitions of the group"
        );
    }
    Ok(revoked)
}

/// Writes that this host takes partitions over. The record follows those that this host has yet to write.
fn write_takeover(node: &Node, id: TakeoverId) {
    let host = node.settings.host.clone();
    let record = Record::TakenOver(Takeover { id, host });
    node.batch.writer.add(record, Bytes::new());
}

fn membership(node: &Node) -> Membership {
    Membership {
        member: node.settings.host.clone(),
        topic: Topic::Owners,
        generation: node.batch.ownership.generation.get(),
        ttl_ms: ttl(node).as_millis() as u64,
    }
}
