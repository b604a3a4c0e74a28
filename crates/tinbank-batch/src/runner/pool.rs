//! Runs items on the traffic threads: takes them by share and due time, sends them where there is room, and retries.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use smallvec::SmallVec;
use tinbank_admission::Gate;
use tinbank_base::{
    id,
    outcome::{Code, Ran},
    platform::{
        hosts,
        upstream::{Error, Kind},
    },
    record::work::{Completion, Outcome},
};
use tinbank_configuration::template::Traffic;
use tinbank_routing::choice::{Ask, Choice, Router};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use super::{
    attempt::{self, Edge, End, Spot},
    lanes::Lanes,
    quota::Quotas,
    retry::{self, Past, Verdict},
    room::Room,
    share::Scheduler,
    task::{Flow, Kept, Report, Task},
};

/// How often waiting items look for room: credits and upstreams change without a word.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Most upstreams asked for room for one item in one look.
const MAX_CHOICES: usize = 64;

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

    fn place(&mut self, task: &Task, now: Instant) -> Option<Spot> {
        let mut ask = Ask {
            service: &task.service,
            traffic: Traffic::Batch,
            prefix: task.prefix,
            tried: SmallVec::new(),
        };
        for _ in 0..MAX_CHOICES {
            let Ok(choice) = self.parts.router.choose(&ask, now) else {
                break;
            };
            let upstream = choice.target.upstream;
            if ask.tried.contains(&upstream) {
                break;
            }
            if let Some(spot) = self.enter(task, choice, now) {
                return Some(spot);
            }
            ask.tried.push(upstream);
        }
        if task.suspect() {
            self.lanes.reserve(&ask.tried);
        }
        self.wish(task, &ask.tried, now);
        None
    }

    fn enter(&self, task: &Task, choice: Choice, now: Instant) -> Option<Spot> {
        let upstream = choice.target.upstream;
        if !self.lanes.open(upstream, task.suspect()) {
            return None;
        }
        let gate: &dyn Gate = match task.service.kind {
            hosts::Kind::Engine => &*self.parts.gate,
            hosts::Kind::Plain => &self.plain,
        };
        let pass = gate.enter(upstream, &task.flow.customer, now)?;
        Some(Spot { choice, pass })
    }

    /// Asks for more room in the upstreams that had none, in equal parts.
    fn wish(&self, task: &Task, full: &[id::Upstream], now: Instant) {
        if full.is_empty() || task.service.kind == hosts::Kind::Plain {
            return;
        }
        let waiting = self.queue.waiting(&task.flow) + 1;
        let each = waiting.div_ceil(full.len()) as u32;
        let due = now + until(task.due);
        for upstream in full {
            let wanted = each + self.lanes.running(*upstream);
            let wanted = u16::try_from(wanted).unwrap_or(u16::MAX);
            let customer = &task.flow.customer;
            self.parts.gate.wish(*upstream, customer, wanted, due, now);
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

    fn ended(&mut self, mut task: Box<Task>, end: End) {
        match end {
            End::Answer(answer) => {
                task.attempts += 1;
                let outcome = match answer.len() {
                    0..=MAX_ANSWER_BYTES => Outcome::Answer(answer),
                    size => too_large(size),
                };
                self.complete(&task, outcome);
            }
            End::Withdrawn => {
                task.attempts += 1;
                metrics::counter!("tinbank_batch_withdrawn_total").increment(1);
                self.push(task);
            }
            End::Stopped | End::Lost => self.give_back(&task),
            End::NotDispatched => self.rest(task),
            End::Failed(error) => self.failed(task, error),
        }
    }

    fn failed(&mut self, mut task: Box<Task>, error: Error) {
        if error.ran != Ran::No {
            task.attempts += 1;
            task.failures += 1;
            task.losses += u16::from(retry::lost(&error));
        }
        let refused = matches!(error.kind, Kind::Rejected { .. } | Kind::Crossed(_));
        if refused && task.kept.tokens > 0 {
            // The engine may not take up where another one left off.
            task.kept = Kept::default();
            self.rest(task);
            return;
        }
        let past = Past {
            repeatable: task.repeatable,
            failures: task.failures,
            limit: task.service.attempts,
            hopeless: task.hopeless(),
        };
        match retry::decide(&error, past) {
            Verdict::Again => self.rest(task),
            Verdict::End(outcome) => self.complete(&task, outcome),
        }
    }

    fn complete(&self, task: &Task, outcome: Outcome) {
        let completion = Completion {
            item: task.key.item,
            attempts: task.attempts,
            outcome,
        };
        let key = task.key;
        self.report(Report::Ended { key, completion });
    }

    /// Tries again after a pause.
    fn rest(&mut self, mut task: Box<Task>) {
        task.tries += 1;
        let spread = rand::random_range(0.5..1.0);
        let pause = retry::backoff(task.tries).mul_f64(spread);
        self.work.spawn(async move {
            time::sleep(pause).await;
            Done::Rested(task)
        });
    }
}

fn too_large(size: usize) -> Outcome {
    Outcome::Failed {
        code: Code::TooLarge,
        ran: Ran::Yes,
        message: format!("the answer of {size} bytes is over the limit of {MAX_ANSWER_BYTES}"),
    }
}

/// How long until a time; zero when it has passed.
fn until(at: SystemTime) -> Duration {
    at.duration_since(SystemTime::now()).unwrap_or_default()
}
