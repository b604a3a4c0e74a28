//! Which jobs this process runs: those of the partitions that it holds in a group at the store.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tinbank_jobs::{
    holdings::{Holdings, Lost},
    record::JobId,
};
use tokio::time;

use super::partition;
use crate::{
    border::store::{Membership, Topic, TopicPartition},
    dependency::Dependency,
    node::Node,
};

/// How long a member may stay silent, where the store allows so little.
const TTL: Duration = Duration::from_secs(2);
/// How often the process says that it is there, in parts of the ttl.
const JOINS_PER_TTL: u32 = 4;
/// Pause before the next call where partitions were lost: their last records are written meanwhile.
const WRITE_TIME: Duration = Duration::from_millis(150);
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The process's membership in the group.
#[derive(Default)]
pub(super) struct Owner {
    holdings: RefCell<Holdings>,
    /// Rises with each change of the group.
    generation: Cell<u64>,
    renewed_at: Cell<Option<Instant>>,
    member: Cell<bool>,
}

impl Owner {
    /// True if the membership was renewed lately. Without an answer of the store for a while others have taken over.
    fn is_renewed(&self, ttl: Duration) -> bool {
        let renewed = self.renewed_at.get();
        renewed.is_some_and(|at| at.elapsed() < ttl + CALL_TIMEOUT)
    }

    /// True from the first call to join the group until the process has left it.
    pub fn is_member(&self) -> bool {
        self.member.get()
    }

    /// Forgets when the membership was renewed.
    pub fn distrust(&self) {
        self.renewed_at.set(None);
    }
}

/// True if a job falls to this process.
pub(super) fn holds(node: &Node, job: &JobId) -> bool {
    let partition = partition(job, node.settings.store.partitions);
    let owner = &node.batch.owner;
    owner.is_renewed(ttl(node)) && owner.holdings.borrow().has(partition)
}

/// True if this process may start items of a job now.
pub(super) fn may_start(node: &Node, job: &JobId) -> bool {
    let partition = partition(job, node.settings.store.partitions);
    let owner = &node.batch.owner;
    let now = Instant::now();
    owner.is_renewed(ttl(node)) && owner.holdings.borrow().may_start(partition, now)
}

/// The time for which a member may stay silent.
fn ttl(node: &Node) -> Duration {
    TTL.max(node.settings.store.min_member_ttl)
}

/// Stays in the group for as long as it is polled, and until the process leaves it.
pub(super) async fn stay(node: Rc<Node>) {
    create(&node).await;
    let mut group = Dependency::new("group");
    node.batch.owner.member.set(true);
    while node.batch.owner.is_member() {
        let mut pause = ttl(&node) / JOINS_PER_TTL;
        match join(&node).await {
            Ok(lost) => {
                group.record_success();
                if hand_over(&node, &lost) {
                    pause = WRITE_TIME;
                }
            }
            Err(error) => {
                group.record_failure(&error);
                leave_to_others(&node);
            }
        }
        time::sleep(pause).await;
    }
}

/// Stops the items of partitions that are lost, so that the next holder goes on where they stand. True if there were any:
/// the store gives such a partition to another one only when this process has joined again.
fn hand_over(node: &Node, lost: &Lost) -> bool {
    if lost.is_empty() {
        return false;
    }
    let partitions = node.settings.store.partitions;
    let stopped = node
        .batch
        .runner
        .stop(|job| lost.contains(&partition(job, partitions)));
    log::info!(partitions:? = lost.as_slice(), items = stopped; "partitions lost, their items stop here");
    true
}

/// Stops the items that run here once others have taken over. They have if the store has not heard from this process for
/// the ttl, and still serves other hosts; if it serves none, nobody has, and the items go on.
fn leave_to_others(node: &Node) {
    let owner = &node.batch.owner;
    let silent = owner.renewed_at.get().map(|at| at.elapsed());
    let Some(silent) = silent.filter(|silent| *silent >= ttl(node)) else {
        return;
    };
    let Some(host) = node.sharing.host_with_store(Instant::now()) else {
        return;
    };
    let silent_ms = silent.as_millis() as u64;
    log::warn!(silent_ms, host:%; "cut off from the store, which serves others: items are left to them");
    owner.distrust();
    node.batch.runner.stop_all();
}

/// Leaves the group, so that others get the partitions at once.
pub(super) async fn leave(node: &Node) {
    node.batch.owner.member.set(false);
    node.batch.owner.distrust();
    node.batch.owner.holdings.take();
    let membership = membership(node);
    // Should the process join again, it has heard of nothing.
    node.batch.owner.generation.set(0);
    let until = Instant::now() + CALL_TIMEOUT;
    match node.store.leave(&membership, until).await {
        Ok(()) => log::info!("group at the store left"),
        Err(error) => log::warn!(error:%; "group at the store not left, its members will notice"),
    }
}

/// Writes a first record, because a topic comes to be with its first record.
async fn create(node: &Node) {
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

/// Joins the group, or stays in it. The partitions that are lost since the last time.
async fn join(node: &Node) -> Result<Lost, crate::border::store::Error> {
    let membership = membership(node);
    let asked_at = Instant::now();
    let until = asked_at + CALL_TIMEOUT;
    let assignment = node.store.join(&membership, until).await?;
    let owner = &node.batch.owner;
    owner.renewed_at.set(Some(asked_at));
    owner.generation.set(assignment.generation);
    let mut holdings = owner.holdings.borrow_mut();
    let before: Vec<u32> = holdings.partitions().collect();
    let lost = holdings.assign(&assignment.partitions, Instant::now());
    if before != assignment.partitions {
        log::info!(
            generation = assignment.generation,
            partitions:? = assignment.partitions;
            "partitions of the group"
        );
    }
    Ok(lost)
}

fn membership(node: &Node) -> Membership {
    Membership {
        member: node.settings.host.clone(),
        topic: Topic::Owners,
        generation: node.batch.owner.generation.get(),
        ttl_ms: ttl(node).as_millis() as u64,
    }
}
