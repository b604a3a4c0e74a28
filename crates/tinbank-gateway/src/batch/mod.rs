//! Batch jobs: taken in, run, and read, all by way of the log.

mod contents;
mod follower;
pub(crate) mod forward;
pub(crate) mod intake;
mod item;
mod large;
mod owner;
pub(crate) mod results;
mod runner;
mod writer;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use tinbank_jobs::{Table, fold::Verdict, record::JobId};
use tokio::sync::{Notify, oneshot};

use crate::{
    border::store::{Offset, Topic, TopicPartition},
    node::Node,
};

/// Where the records of jobs are.
const JOBS: TopicPartition = TopicPartition {
    topic: Topic::Jobs,
    partition: 0,
};

/// The process's part in batch jobs.
pub(crate) struct Batch {
    table: RefCell<Table>,
    /// Offset behind the last record taken in.
    next: Cell<Offset>,
    known: Cell<bool>,
    changed: Notify,
    /// The table is to hold all records before this offset soon: somebody waits for them.
    wanted: Cell<Offset>,
    /// Told when `wanted` rises.
    hurry: Notify,
    verdicts: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    owner: owner::Owner,
    runner: runner::Runner,
    writer: writer::Writer,
    contents: contents::Contents,
    large: large::Large,
}

impl Batch {
    pub fn new() -> Self {
        Self {
            table: RefCell::default(),
            next: Cell::new(0),
            known: Cell::new(false),
            changed: Notify::new(),
            wanted: Cell::new(0),
            hurry: Notify::new(),
            verdicts: RefCell::default(),
            owner: owner::Owner::default(),
            runner: runner::Runner::default(),
            writer: writer::Writer::default(),
            contents: contents::Contents::default(),
            large: large::Large::default(),
        }
    }

    /// True once the log was read to its end.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// Forgets what it owns, after a pause of the process.
    pub fn distrust(&self) {
        self.owner.distrust();
    }

    /// Forgets the log of jobs, which another host follows from now on.
    fn forget(&self) {
        self.known.set(false);
        self.next.set(0);
        self.wanted.set(0);
        self.table.take();
        self.contents.retain(|_| false);
        self.runner.forget();
    }

    /// Somebody waits until the table holds all records before an offset.
    fn want(&self, end: Offset) {
        self.wanted.set(self.wanted.get().max(end));
        self.hurry.notify_one();
    }

    /// True if somebody waits for records that are in the log and not in the table yet.
    fn is_behind(&self) -> bool {
        self.next.get() < self.wanted.get()
    }
}

/// Starts everything that runs for as long as the process does.
pub(crate) fn start(node: &Rc<Node>) {
    tokio::task::spawn_local(duty(Rc::clone(node)));
    tokio::task::spawn_local(writer::write(Rc::clone(node)));
}

/// Follows the log of jobs and runs items while this host is a delegate. If all hosts did, reading and folding would grow as
/// hosts times jobs: 295 hosts moved 1.1 GB to and from the store in a day of 500 jobs with a power loss, 20 delegates 0.1 GB.
async fn duty(node: Rc<Node>) {
    loop {
        node.feed.on_duty().await;
        // The lists come first: all other hosts wait for them, and the log of jobs takes the store many times as long.
        node.view.known().await;
        log::info!("log of jobs followed, and jobs run here");
        tokio::select! {
            () = follower::follow(Rc::clone(&node)) => {}
            // The log is followed to the end: it says which of the last records have arrived.
            () = work(&node) => {}
        }
        log::info!("jobs left to other hosts");
        node.sharing.store_left();
        node.batch.forget();
    }
}

/// Runs items until this host is no delegate, and gives back what it owns.
async fn work(node: &Rc<Node>) {
    tokio::select! {
        () = owner::stay(Rc::clone(node)) => {}
        () = runner::run(Rc::clone(node)) => {}
        () = node.feed.off_duty() => {}
    }
    if node.stop.is_stopping() {
        // Whoever stops the process gives everything back.
        std::future::pending::<()>().await;
    }
    leave(node).await;
}

/// Gives back what the process owns, so that other hosts go on with it at once.
pub(crate) async fn leave(node: &Rc<Node>) {
    if !node.batch.owner.is_member() {
        return;
    }
    runner::drained(node).await;
    owner::leave(node).await;
}

/// The number that decides which partition a job belongs to.
fn partition(job: &JobId, partitions: u32) -> u32 {
    use std::hash::{Hash, Hasher};
    let mut hasher = siphasher::sip::SipHasher13::new();
    job.hash(&mut hasher);
    (hasher.finish() % u64::from(partitions.max(1))) as u32
}
