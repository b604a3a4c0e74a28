//! Runs items on the traffic threads: schedules them by share and due time, sends them to upstreams with capacity, and
//! retries them.

mod attempt_end;
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
    attempt::{self, AttemptContext, AttemptEnd, Placement},
    concurrency_gate::ConcurrencyGate,
    isolation::SuspectIsolation,
    quota::Quotas,
    scheduler::Scheduler,
    task::{Flow, Report, Task},
};

/// How often placement of waiting items is retried, since no event signals changes of credits or upstreams.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum size of a stored answer in bytes, so that it fits into a log record.
pub const MAX_ANSWER_BYTES: usize = 128 << 10;

/// Dependencies and limits of the pool.
#[derive(Debug)]
pub struct Dependencies {
    /// Dependencies of attempts.
    pub context: AttemptContext,
    /// Chooses upstreams.
    pub router: Arc<dyn Router>,
    /// Admits items to engines.
    pub gate: Arc<dyn Gate>,
    /// Maximum concurrent calls of this process in one upstream of a plain service.
    pub max_plain_calls: u32,
    /// Maximum items in flight.
    pub max_in_flight: usize,
}

/// Commands to the pool.
#[derive(Debug)]
pub enum Command {
    /// Run these tasks.
    Add(Vec<Task>),
    /// Return stopped tasks to the owner.
    Purge,
}

/// Starts the pool on the current runtime. It ends when the sender is dropped.
pub fn start(deps: Dependencies) -> mpsc::UnboundedSender<Command> {
    let (sender, commands) = mpsc::unbounded_channel();
    let plain_gate = ConcurrencyGate::new(deps.max_plain_calls);
    let pool = Pool {
        deps,
        plain_gate,
        queue: Scheduler::default(),
        isolation: SuspectIsolation::default(),
        quotas: Quotas::default(),
        running: JoinSet::new(),
        in_flight: 0,
    };
    tokio::spawn(pool.run(commands));
    sender
}

struct Pool {
    deps: Dependencies,
    plain_gate: ConcurrencyGate,
    queue: Scheduler<Flow, Box<Task>>,
    isolation: SuspectIsolation,
    quotas: Quotas,
    running: JoinSet<TaskEvent>,
    in_flight: usize,
}

enum TaskEvent {
    /// An attempt ended.
    Attempted {
        task: Box<Task>,
        upstream: id::Upstream,
        end: AttemptEnd,
    },
    /// The backoff before a retry has elapsed.
    BackoffElapsed(Box<Task>),
}

impl Pool {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut placement_tick = time::interval(PLACEMENT_INTERVAL);
        placement_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Add(tasks)) => tasks.into_iter().for_each(|task| self.push(Box::new(task))),
                    Some(Command::Purge) => self.purge(),
                    None => return,
                },
                Some(event) = self.running.join_next() => self.on_task_event(event),
                _ = placement_tick.tick(), if !self.queue.is_empty() => {}
            }
            self.send_ready();
            metrics::gauge!("tinbank_batch_items_waiting").set(self.queue.len() as f64);
        }
    }

    fn push(&mut self, task: Box<Task>) {
        if task.is_stopped() {
            self.return_task(&task);
            return;
        }
        let (flow, weight, due) = (task.flow.clone(), task.weight, task.due);
        self.quotas
            .set_limit(&flow.customer, task.concurrency_limit);
        self.queue.push(flow, weight, due, 1, task);
    }

    fn purge(&mut self) {
        let reports = &self.deps.context.reports;
        self.queue.retain(|task| {
            let stopped = task.is_stopped();
            if stopped {
                // If the owner has ended, nobody needs the report.
                let _ = reports.send(Report::Returned { key: task.key });
            }
            !stopped
        });
    }

    fn return_task(&self, task: &Task) {
        self.report(Report::Returned { key: task.key });
    }

    fn report(&self, report: Report) {
        // If the owner has ended, nobody needs the report.
        let _ = self.deps.context.reports.send(report);
    }

    /// Sends as many waiting items as capacity allows.
    fn send_ready(&mut self) {
        let now = Instant::now();
        let mut full: HashSet<Flow> = HashSet::new();
        let mut unplaced = Vec::new();
        let mut suspects = false;
        while self.in_flight < self.deps.max_in_flight {
            let quotas = &self.quotas;
            let open = |flow: &Flow| !full.contains(flow) && quotas.has_capacity(&flow.customer);
            let Some(task) = self.queue.pop(open) else {
                break;
            };
            if task.is_stopped() {
                self.return_task(&task);
                continue;
            }
            suspects |= task.is_suspect();
            match self.place(&task, now) {
                Some(placement) => self.send(task, placement),
                None => {
                    full.insert(task.flow.clone());
                    unplaced.push(task);
                }
            }
        }
        for task in unplaced {
            self.push(task);
        }
        if !suspects && full.is_empty() {
            self.isolation.clear_reservations();
        }
    }

    fn send(&mut self, mut task: Box<Task>, placement: Placement) {
        let upstream = placement.choice.target.upstream;
        self.isolation.on_sent(upstream, task.is_suspect());
        self.quotas.on_sent(&task.flow.customer);
        self.in_flight += 1;
        let context = self.deps.context.clone();
        self.running.spawn(async move {
            let end = attempt::run(&context, &mut task, placement).await;
            TaskEvent::Attempted {
                task,
                upstream,
                end,
            }
        });
    }

    fn on_task_event(&mut self, event: Result<TaskEvent, tokio::task::JoinError>) {
        match event {
            Ok(TaskEvent::Attempted {
                task,
                upstream,
                end,
            }) => {
                self.in_flight -= 1;
                self.isolation.on_returned(upstream, task.is_suspect());
                self.quotas.on_returned(&task.flow.customer);
                self.on_attempt_end(task, end);
            }
            Ok(TaskEvent::BackoffElapsed(task)) => self.push(task),
            Err(error) => log::error!(error:%; "an attempt panicked"),
        }
    }
}
