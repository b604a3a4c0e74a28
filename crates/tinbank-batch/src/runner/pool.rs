//! Runs items on the traffic threads: takes them by share and due time, sends them where there is room, and retries.

mod ends;
mod place;

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use tinbank_admission::Gate;
use tinbank_base::id;
use tinbank_routing::choice::Router;
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use super::{
    attempt::{self, Edge, End, Spot},
    lanes::Lanes,
    quota::Quotas,
    room::Room,
    share::Scheduler,
    task::{Flow, Report, Task},
};

/// How often waiting items look for room: credits and upstreams change without a word.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Largest answer that is stored, in bytes: a record of the log has to hold it.
pub const MAX_ANSWER_BYTES: usize = 128 << 10;

/// What the pool works with.
#[derive(Debug)]
pub struct Parts {
    /// Upstreams and the owner.
    pub edge: Edge,
    /// Chooses upstreams.
    pub router: Arc<dyn Router>,
    /// Lets items into engines.
    pub gate: Arc<dyn Gate>,
    /// Most calls of this process in a plain service's upstream at once.
    pub plain_at_once: u32,
    /// Most items sent at once.
    pub at_once: usize,
}

/// What the pool is told.
#[derive(Debug)]
pub enum Command {
    /// Run these.
    Add(Vec<Task>),
    /// Some tasks were stopped: give them back now.
    Purge,
}

/// Starts the pool on the runtime that we are in. It ends when the sender is dropped.
pub fn start(parts: Parts) -> mpsc::UnboundedSender<Command> {
    let (sender, commands) = mpsc::unbounded_channel();
    let plain = Room::new(parts.plain_at_once);
    let pool = Pool {
        parts,
        plain,
        queue: Scheduler::default(),
        lanes: Lanes::default(),
        quotas: Quotas::default(),
        work: JoinSet::new(),
        sent: 0,
    };
    tokio::spawn(pool.run(commands));
    sender
}

struct Pool {
    parts: Parts,
    plain: Room,
    queue: Scheduler<Flow, Box<Task>>,
    lanes: Lanes,
    quotas: Quotas,
    work: JoinSet<Done>,
    sent: usize,
}

enum Done {
    /// An attempt ended.
    Ran {
        task: Box<Task>,
        upstream: id::Upstream,
        end: End,
    },
    /// A pause between two attempts is over.
    Rested(Box<Task>),
}

impl Pool {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut look = time::interval(LOOK_EVERY);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Add(tasks)) => tasks.into_iter().for_each(|task| self.push(Box::new(task))),
                    Some(Command::Purge) => self.purge(),
                    None => return,
                },
                Some(done) = self.work.join_next() => self.done(done),
                _ = look.tick(), if !self.queue.is_empty() => {}
            }
            self.fill();
            metrics::gauge!("tinbank_batch_items_waiting").set(self.queue.len() as f64);
        }
    }

    fn push(&mut self, task: Box<Task>) {
        if task.stopped() {
            self.give_back(&task);
            return;
        }
        let (flow, weight, due) = (task.flow.clone(), task.weight, task.due);
        self.quotas.limit(&flow.customer, task.at_once);
        self.queue.push(flow, weight, due, 1, task);
    }

    fn purge(&mut self) {
        let reports = &self.parts.edge.reports;
        self.queue.retain(|task| {
            let stopped = task.stopped();
            if stopped {
                // Without an owner nobody waits for the word.
                let _ = reports.send(Report::Returned { key: task.key });
            }
            !stopped
        });
    }

    fn give_back(&self, task: &Task) {
        self.report(Report::Returned { key: task.key });
    }

    fn report(&self, report: Report) {
        // Without an owner nobody waits for the word.
        let _ = self.parts.edge.reports.send(report);
    }

    /// Sends as many items as there is room for.
    fn fill(&mut self) {
        let now = Instant::now();
        let mut full: HashSet<Flow> = HashSet::new();
        let mut refused = Vec::new();
        let mut suspects = false;
        while self.sent < self.parts.at_once {
            let quotas = &self.quotas;
            let open = |flow: &Flow| !full.contains(flow) && quotas.open(&flow.customer);
            let Some(task) = self.queue.pop(open) else {
                break;
            };
            if task.stopped() {
                self.give_back(&task);
                continue;
            }
            suspects |= task.suspect();
            match self.place(&task, now) {
                Some(spot) => self.send(task, spot),
                None => {
                    full.insert(task.flow.clone());
                    refused.push(task);
                }
            }
        }
        for task in refused {
            self.push(task);
        }
        if !suspects && full.is_empty() {
            self.lanes.lift();
        }
    }

    fn send(&mut self, mut task: Box<Task>, spot: Spot) {
        let upstream = spot.choice.target.upstream;
        self.lanes.enter(upstream, task.suspect());
        self.quotas.enter(&task.flow.customer);
        self.sent += 1;
        let edge = self.parts.edge.clone();
        self.work.spawn(async move {
            let end = attempt::run(&edge, &mut task, spot).await;
            Done::Ran {
                task,
                upstream,
                end,
            }
        });
    }

    fn done(&mut self, done: Result<Done, tokio::task::JoinError>) {
        match done {
            Ok(Done::Ran {
                task,
                upstream,
                end,
            }) => {
                self.sent -= 1;
                self.lanes.leave(upstream, task.suspect());
                self.quotas.leave(&task.flow.customer);
                self.ended(task, end);
            }
            Ok(Done::Rested(task)) => self.push(task),
            Err(error) => log::error!(error:%; "an attempt panicked"),
        }
    }
}
