//! Runs of an item at several hosts that know the log late, and whose appends have unknown outcomes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, SystemTime},
};

use proptest::{prelude::*, sample::Index};
use tinbank_jobs::{
    Table,
    change::Change,
    job::{ItemResult, Progress},
    record::{
        Attachment, Checkpoint, Finish, Item, Outcome, Piece, Record, RunId, RunStart, Stored,
        Submission,
    },
};
use tinbank_origin::Origin;
use tinbank_test_support::property;

const JOB: &str = "job";
/// Events of the item.
const EVENTS: u64 = 8;
const HOSTS: usize = 3;
const BUILDS: [&str; 2] = ["v1", "v2"];

/// What happens next, at one of the hosts.
#[derive(Clone, Debug)]
enum Step {
    /// It starts a run, of one of the builds if no text needs another. It may begin a text anew.
    Start { build: usize, begins_anew: bool },
    /// Its run receives events.
    Receive(u64),
    /// Its run writes what it has received.
    Checkpoint,
    /// Its run breaks off.
    Break,
    /// It appends the oldest of its records together. The store may do the same append once more, later.
    Append { records: usize, is_copied: bool },
    /// The store does an append late.
    AppendCopy(Index),
    /// It reads records of the log.
    Read(usize),
    /// It starts again, without its memory.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..BUILDS.len(), prop::bool::weighted(0.2))
            .prop_map(|(build, begins_anew)| Step::Start { build, begins_anew }),
        5 => (1..4u64).prop_map(Step::Receive),
        3 => Just(Step::Checkpoint),
        3 => Just(Step::Break),
        6 => (1..4usize, any::<bool>())
            .prop_map(|(records, is_copied)| Step::Append { records, is_copied }),
        3 => any::<Index>().prop_map(Step::AppendCopy),
        5 => (1..6usize).prop_map(Step::Read),
        1 => Just(Step::Restart),
    ]
}

/// A run as its upstream knows it.
struct Asked {
    after: u64,
    build: &'static str,
}

/// The log, and what became of all runs.
#[derive(Default)]
struct World {
    log: Vec<Record>,
    copies: Vec<Vec<Record>>,
    asked: BTreeMap<RunId, Asked>,
}

/// A run at a host.
struct Run {
    id: RunId,
    build: &'static str,
    previous: Progress,
    started_after: u64,
    received: u64,
    written: u64,
    is_announced: bool,
    is_completed: bool,
}

/// A host, as in the runner of the gateway.
#[derive(Default)]
struct Host {
    table: Table,
    applied: usize,
    queue: VecDeque<Record>,
    run: Option<Run>,
    /// Progress that is in the log or being written.
    waiting: Progress,
    own: Vec<RunId>,
}

impl Host {
    fn take(&mut self, step: &Step, world: &mut World) {
        match step {
            Step::Start { build, begins_anew } => self.start(*build, *begins_anew, world),
            Step::Receive(count) => self.receive(*count),
            Step::Checkpoint => self.checkpoint(),
            Step::Break => self.break_off(),
            Step::Append { records, is_copied } => self.append(*records, *is_copied, world),
            Step::AppendCopy(index) if !world.copies.is_empty() => {
                let copy = index.get(&world.copies).clone();
                world.log.extend(copy);
            }
            Step::AppendCopy(_) => {}
            Step::Read(count) => self.read(*count, world),
            Step::Restart => {
                let unanswered = self.queue.iter().cloned().collect();
                world.copies.push(unanswered);
                *self = Self::default();
            }
        }
    }

    fn start(&mut self, build: usize, begins_anew: bool, world: &mut World) {
        let job = self.table.job(JOB);
        let Some(job) = job.filter(|it| self.run.is_none() && it.runnable(0).is_some()) else {
            return;
        };
        let logged = job.progress(0);
        let previous = match self.waiting.last_event > logged.last_event {
            true => self.waiting.clone(),
            false => logged.clone(),
        };
        let known = previous.origin.as_ref().filter(|_| !begins_anew);
        let known = known.and_then(|it| BUILDS.iter().find(|build| *it.build == ***build));
        let (started_after, build) = match known {
            Some(known) => (previous.last_event, *known),
            None => (0, BUILDS[build]),
        };
        let id = world.asked.len() as RunId + 1;
        let after = started_after;
        world.asked.insert(id, Asked { after, build });
        self.own.push(id);
        self.run = Some(Run {
            id,
            build,
            previous,
            started_after,
            received: started_after,
            written: started_after,
            is_announced: false,
            is_completed: false,
        });
    }

    fn receive(&mut self, count: u64) {
        let Some(run) = self.run.as_mut().filter(|it| !it.is_completed) else {
            return;
        };
        run.received = (run.received + count).min(EVENTS);
        if run.received < EVENTS {
            return;
        }
        run.is_completed = true;
        if run.previous.last_event > 0 {
            run.announce(&mut self.queue);
        }
        let result = Outcome::Completed(run.take_piece());
        self.queue.push_back(Record::Finished(Finish {
            job: JOB.to_owned(),
            submission: 0,
            index: 0,
            result,
        }));
    }

    fn checkpoint(&mut self) {
        let Some(run) = &mut self.run else {
            return;
        };
        if run.received == run.written || run.is_completed {
            return;
        }
        run.announce(&mut self.queue);
        self.queue.push_back(Record::Checkpointed(Checkpoint {
            job: JOB.to_owned(),
            submission: 0,
            index: 0,
            piece: run.take_piece(),
        }));
    }

    fn break_off(&mut self) {
        self.checkpoint();
        let Some(run) = self.run.take_if(|it| !it.is_completed) else {
            return;
        };
        if run.written > run.started_after {
            self.waiting = Progress {
                last_event: run.written,
                run: run.id,
                origin: Some(origin(run.build)),
            };
        }
    }

    fn append(&mut self, records: usize, is_copied: bool, world: &mut World) {
        let count = records.min(self.queue.len());
        let taken: Vec<Record> = self.queue.drain(..count).collect();
        if is_copied && !taken.is_empty() {
            world.copies.push(taken.clone());
        }
        world.log.extend(taken);
    }

    fn read(&mut self, count: usize, world: &World) {
        let end = world.log.len().min(self.applied + count);
        for offset in self.applied..end {
            let change = self.table.apply(offset as u64, world.log[offset].clone());
            self.on_change(change);
        }
        self.applied = end;
    }

    fn on_change(&mut self, change: Change) {
        match change {
            Change::Checkpointed { run, .. } | Change::RunStarted { run, .. }
                if self.run.is_some() && !self.own.contains(&run) =>
            {
                self.drop_run();
            }
            Change::Conflict { run, .. } if self.own.contains(&run) => self.drop_run(),
            Change::Finished { .. } => self.drop_run(),
            _ => {}
        }
    }

    fn drop_run(&mut self) {
        self.run = None;
        self.waiting = Progress::default();
    }
}

impl Run {
    fn announce(&mut self, queue: &mut VecDeque<Record>) {
        if std::mem::replace(&mut self.is_announced, true) {
            return;
        }
        queue.push_back(Record::RunStarted(RunStart {
            job: JOB.to_owned(),
            submission: 0,
            index: 0,
            run: self.id,
            origin: origin(self.build),
            previous_run: self.previous.run,
            previous_event: self.previous.last_event,
            resumes: self.started_after == self.previous.last_event,
        }));
    }

    fn take_piece(&mut self) -> Piece {
        let after = std::mem::replace(&mut self.written, self.received);
        Piece {
            run: self.id,
            started_after: self.started_after,
            after,
            last: self.received,
            // Names the run and its events, for `events` to decode.
            text: Stored {
                partition: self.id as u32,
                offset: after,
                records: (self.received - after) as u32,
                bytes: 1,
            },
        }
    }
}

fn origin(build: &str) -> Origin {
    Origin {
        service: "notes".to_owned(),
        build: build.into(),
    }
}

fn submission() -> Record {
    Record::Submitted(Submission {
        job: JOB.to_owned(),
        call: 1,
        host: "one.example".to_owned(),
        route: "sweep".to_owned(),
        quota: None,
        max_attempts: 3,
        submitted_at: SystemTime::UNIX_EPOCH,
        retention: Duration::from_secs(60),
        target: Duration::from_secs(18),
        items: vec![Item {
            id: "item".to_owned(),
            path: "/p/x".to_owned(),
            tokens: 10,
        }],
        contents: Attachment::Stored(Stored::default()),
        position: None,
    })
}

/// Returns run and number of each event of the item's text, if it is completed at the end of the log.
fn events(log: &[Record]) -> Option<Vec<(RunId, u64)>> {
    let mut table = Table::default();
    for (offset, record) in (0..).zip(log) {
        table.apply(offset, record.clone());
    }
    let result = table.job(JOB)?.results(0).next()?.result.clone();
    let ItemResult::Completed(pieces) = result else {
        return None;
    };
    let events = pieces.iter().flat_map(|it| {
        let numbers = it.offset + 1..=it.offset + u64::from(it.records);
        numbers.map(|number| (RunId::from(it.partition), number))
    });
    Some(events.collect())
}

proptest! {
    #![proptest_config(property::config(3000))]

    /// Guards against a text that joins runs which do not go on from each other, or of two builds, or that lacks events.
    #[test]
    fn a_text_joins_only_runs_that_were_asked_to_go_on(
        steps in prop::collection::vec((0..HOSTS, step()), 30..200),
    ) {
        let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::default()).collect();
        let mut world = World::default();
        world.log.push(submission());

        for (host, step) in &steps {
            hosts[*host].take(step, &mut world);
        }

        let Some(events) = events(&world.log) else {
            return Ok(());
        };
        let numbers: Vec<u64> = events.iter().map(|it| it.1).collect();
        prop_assert_eq!(numbers, Vec::from_iter(1..=EVENTS));
        prop_assert_eq!(world.asked[&events[0].0].after, 0);
        for pair in events.windows(2) {
            let [(before, after), (run, _)] = [pair[0], pair[1]];
            let (before_asked, asked) = (&world.asked[&before], &world.asked[&run]);
            prop_assert!(before == run || asked.after == after, "{:?}", events);
            prop_assert_eq!(before_asked.build, asked.build, "{:?}", events);
        }
    }
}
