//! The log's budget: appends and bytes an item on its way through intake, completion and carrying forward, from the pure
//! [`Group`] in virtual time, with records of real size. One process of the fleet is driven, with its share of the work.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tinbank_base::{
    clock::Stamp,
    id::{self, Process, Role},
    platform::log::Stream,
    record::{
        Writer, lease,
        work::{Carried, Chunk, Completed, Completion, Item, Outcome, Record},
    },
};
use tinbank_batch::intake::cut::Cutter;
use tinbank_ledger::placement;
use tinbank_log::{
    budget::Priority,
    encode,
    group::{Action, Answer, Append, Group, Settings},
};

use super::{Point, Series, intake, point};

/// Items a second of the whole fleet.
const RATES: [u32; 4] = [1_250, 2_500, 5_100, 10_200];
/// The same of today, around a sweep of 810,000 items in seven hours.
const RATES_TODAY: [u32; 4] = [10, 32, 100, 320];
/// Appends a second that may be left to owners, after intake.
const LEFT: [u32; 4] = [150, 200, 250, 300];
const RATE: f64 = 10_200.0;
/// Appends a second that the log takes from the fleet.
const BUDGET: f64 = 300.0;
/// Writers and shards of the target, and of today.
const TARGET: Fleet = Fleet {
    writers: 370,
    shards: 512,
};
const TODAY: Fleet = Fleet {
    writers: 12,
    shards: 16,
};
const JOBS: [usize; 4] = [10_000, 50_000, 200_000, 810_000];
const ITEMS: [usize; 4] = [2_560, 5_120, 10_240, 20_480];
const ANSWER: usize = 600;
/// Chunks of a job that are appended at once, as intake does it.
const AT_ONCE: usize = 4;
/// About how many bytes of completions go into one append, as the owner does it.
const APPEND_BYTES: usize = 256 << 10;
const RENEW: Duration = Duration::from_secs(2);
const ROUND_TRIP: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(30);
const MEASURED: Duration = Duration::from_secs(120);

#[derive(Clone, Copy)]
struct Fleet {
    writers: usize,
    shards: usize,
}

/// Completions and renewals of the owners, over the fleet.
pub(super) fn completions() -> Series {
    owners(
        "log completions",
        "appends a second of the fleet: completions and renewals, 370 writers, 512 shards",
        &RATES,
        TARGET,
        |run| run.appends,
    )
}

pub(super) fn completions_today() -> Series {
    owners(
        "log completions today",
        "appends a second of the fleet: completions and renewals, 12 writers, 16 shards",
        &RATES_TODAY,
        TODAY,
        |run| run.appends,
    )
}

/// How long a completion waits for its append, by what the fleet's owners may append.
pub(super) fn wait() -> Series {
    let points = LEFT
        .iter()
        .map(|left| point(*left as usize, own(RATE, f64::from(*left), TARGET).wait_ms))
        .collect();
    Series::new(
        "log wait",
        "append a second left to the owners, 10,200 items a second, 370 writers, 512 shards",
        "ms till a completion lasts, mean",
        points,
    )
}

pub(super) fn intake_appends() -> Series {
    jobs("log intake appends", "appends", TARGET, |run| run.appends)
}

pub(super) fn intake_time() -> Series {
    jobs(
        "log intake time",
        "s to take a job in, 370 writers",
        TARGET,
        |run| run.seconds,
    )
}

pub(super) fn intake_time_today() -> Series {
    jobs(
        "log intake time today",
        "s to take a job in, 12 writers",
        TODAY,
        |run| run.seconds,
    )
}

pub(super) fn intake_bytes() -> Series {
    bytes(
        "log intake bytes",
        "item with a body of 400 bytes",
        |items| {
            let chunks = chunks(items);
            chunks
                .into_iter()
                .map(|chunk| enveloped(&[Record::Chunk(chunk)]))
                .sum()
        },
    )
}

pub(super) fn completion_bytes() -> Series {
    bytes(
        "log completion bytes",
        "item with an answer of 600 bytes",
        |items| {
            let numbers: Vec<_> = (0..items as id::Item).collect();
            let groups = numbers.chunks(32);
            groups.map(|group| enveloped(&[completed(group)])).sum()
        },
    )
}

/// A finished chunk carried forward with its answers.
pub(super) fn carried_bytes() -> Series {
    bytes(
        "log carried bytes",
        "ended item carried forward once",
        |items| {
            chunks(items)
                .into_iter()
                .map(|chunk| enveloped(&[carried(chunk)]))
                .sum()
        },
    )
}

fn bytes(name: &'static str, x: &'static str, measure: impl Fn(usize) -> usize) -> Series {
    let points = ITEMS
        .iter()
        .map(|items| point(*items, measure(*items) as f64))
        .collect();
    Series::new(name, x, "bytes on the log", points)
}

fn owners(
    name: &'static str,
    y: &'static str,
    rates: &[u32],
    fleet: Fleet,
    of: impl Fn(&Owned) -> f64,
) -> Series {
    let points = rates
        .iter()
        .map(|rate| point(*rate as usize, of(&own(f64::from(*rate), BUDGET, fleet))))
        .collect();
    Series::new(name, "item a second of the fleet", y, points)
}

fn jobs(name: &'static str, y: &'static str, fleet: Fleet, of: impl Fn(&Taken) -> f64) -> Series {
    let points: Vec<Point> = JOBS
        .iter()
        .map(|items| point(*items, of(&take_in(*items, fleet))))
        .collect();
    Series::new(name, "item of one job", y, points)
}

/// One owner's part.
struct Owned {
    appends: f64,
    wait_ms: f64,
}

/// One job's intake.
struct Taken {
    appends: f64,
    seconds: f64,
}

/// A shard's outbox: one append at a time, as the owner does it.
#[derive(Clone, Default)]
struct Outbox {
    waiting: Vec<Instant>,
    sending: Vec<Instant>,
    appended: Option<Instant>,
    under_way: bool,
}

/// A driver of one process's [`Group`].
struct Drive {
    group: Group,
    now: Instant,
    appends: u64,
    answers: Vec<(Instant, Stream)>,
}

impl Drive {
    fn new(writers: usize, appends: f64) -> Self {
        let now = Instant::now();
        let mut settings = Settings::default();
        settings.budget.fleet_per_second = appends;
        Self {
            group: Group::new(settings, writers, now),
            now,
            appends: 0,
            answers: Vec::new(),
        }
    }

    fn append(&mut self, ticket: u64, stream: Stream, records: Bytes, priority: Priority) {
        self.group.append(Append {
            ticket,
            stream,
            records,
            count: 1,
            priority,
            deadline: self.now + Duration::from_secs(60),
        });
    }

    /// Goes on by a step and returns the tickets of what lasts by then.
    fn step(&mut self) -> Vec<u64> {
        self.now += STEP;
        let now = self.now;
        let mut actions = Vec::new();
        let (due, later) = self.answers.iter().copied().partition(|(at, _)| *at <= now);
        self.answers = later;
        for (_, stream) in due {
            actions.extend(self.group.answered(stream, Answer::Durable(0), 0.5, now));
        }
        actions.extend(self.group.poll(now));
        let mut done = Vec::new();
        for action in actions {
            match action {
                Action::Send { stream, .. } | Action::Resend { stream, .. } => {
                    self.appends += 1;
                    self.answers.push((now + ROUND_TRIP, stream));
                }
                Action::Resolve { ticket, result } => {
                    assert!(result.is_ok(), "the deadline is far off");
                    done.push(ticket);
                }
            }
        }
        done
    }
}

fn own(rate: f64, budget: f64, fleet: Fleet) -> Owned {
    // At least one shard: with more shards than writers, as many as the share, rounded up.
    let shards = fleet.shards.div_ceil(fleet.writers);
    let owners = fleet.shards as f64 / shards as f64;
    let mine = rate / owners;
    let writers = owners.round() as usize;
    let mut drive = Drive::new(writers, budget);
    let mut boxes = vec![Outbox::default(); shards];
    let (mut owed, mut next) = (0.0, 0);
    let (mut ended, mut waited) = (0_u64, Duration::ZERO);
    let begun = drive.now;
    let mut counted_from = 0;
    while drive.now < begun + WARM_UP + MEASURED {
        let warm = drive.now >= begun + WARM_UP;
        if !warm {
            counted_from = drive.appends;
        }
        owed += mine * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            boxes[next % shards].waiting.push(drive.now);
            next += 1;
        }
        for (shard, outbox) in boxes.iter_mut().enumerate() {
            flush(shard, outbox, &mut drive);
        }
        for ticket in drive.step() {
            let outbox = &mut boxes[ticket as usize];
            outbox.under_way = false;
            outbox.appended = Some(drive.now);
            for at in outbox.sending.drain(..).filter(|_| warm) {
                ended += 1;
                waited += drive.now - at;
            }
        }
    }
    let appends = (drive.appends - counted_from) as f64 / MEASURED.as_secs_f64();
    Owned {
        appends: appends * owners,
        wait_ms: waited.as_secs_f64() * 1e3 / ended.max(1) as f64,
    }
}

fn flush(shard: usize, outbox: &mut Outbox, drive: &mut Drive) {
    if outbox.under_way {
        return;
    }
    let stream = Stream::Work(shard as id::Shard);
    if !outbox.waiting.is_empty() {
        let fits = outbox.waiting.len().min(APPEND_BYTES / (ANSWER + 32));
        outbox.sending = outbox.waiting.drain(..fits).collect();
        outbox.under_way = true;
        let numbers: Vec<_> = (0..fits as id::Item).collect();
        let records = encode::records(&[completed(&numbers)]);
        drive.append(shard as u64, stream, records, Priority::Normal);
    } else if outbox.appended.is_none_or(|at| drive.now >= at + RENEW) {
        outbox.under_way = true;
        let renew = Record::Lease(lease::Lease::Renew { epoch: 7 });
        let records = encode::records(&[renew]);
        drive.append(shard as u64, stream, records, Priority::Reserved);
    }
}

/// One process takes one job in and appends nothing else.
fn take_in(items: usize, fleet: Fleet) -> Taken {
    let mut drive = Drive::new(fleet.writers, BUDGET);
    let begun = drive.now;
    let shards = fleet.shards as u16;
    let spread = placement::shards_for(items as id::Item, shards);
    let mut left = chunks(items).into_iter();
    let mut open = 0;
    loop {
        while open < AT_ONCE {
            let Some(chunk) = left.next() else {
                break;
            };
            let shard = placement::shard_of_chunk(JOB, chunk.chunk, spread, shards);
            let ticket = chunk.chunk.into();
            let records = encode::records(&[Record::Chunk(chunk)]);
            drive.append(ticket, Stream::Work(shard), records, Priority::Normal);
            open += 1;
        }
        if open == 0 {
            break;
        }
        open -= drive.step().len();
    }
    Taken {
        // The head, and a release to each shard of chunks.
        appends: drive.appends as f64 + 1.0 + f64::from(spread),
        seconds: (drive.now - begun).as_secs_f64(),
    }
}

fn chunks(items: usize) -> Vec<Chunk> {
    let mut cutter = Cutter::new(JOB, 1);
    let mut chunks: Vec<_> = (0..items)
        .filter_map(|number| cutter.push(item(number)))
        .collect();
    chunks.extend(cutter.finish());
    chunks
}

fn item(number: usize) -> Item {
    Item {
        custom_id: format!("logger-{number:07}"),
        body: vec![b'x'; intake::BODY].into(),
        repeatable: true,
    }
}

fn completed(items: &[id::Item]) -> Record {
    Record::Completed(Completed {
        job: JOB,
        chunk: 3,
        completions: items.iter().map(|item| completion(*item)).collect(),
    })
}

fn completion(item: id::Item) -> Completion {
    Completion {
        item,
        attempts: 1,
        outcome: Outcome::Answer(vec![b'x'; ANSWER].into()),
    }
}

fn carried(chunk: Chunk) -> Record {
    let numbers = chunk.first..chunk.first + chunk.items.len() as id::Item;
    let completions = numbers.map(completion).collect();
    let mut chunk = chunk;
    for item in &mut chunk.items {
        item.body = Bytes::new();
    }
    Record::Carried(Carried {
        through: 1_000_000,
        chunk,
        completions,
    })
}

fn enveloped(records: &[Record]) -> usize {
    let writer = Writer {
        process: Process {
            host: 123,
            role: Role::Batch,
        },
        incarnation: 1_790_000_000_000_000,
    };
    let stamp = Stamp {
        micros: 1_790_000_000_000_000,
        counter: 1,
    };
    let encoded = [encode::records(records)];
    encode::envelope(writer, 1_000, stamp, records.len(), &encoded).len()
}

const JOB: id::Job = 42;
