//! Callers, and what they see.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use tokio::{
    task::{self, JoinHandle},
    time::{self, Instant},
};

use crate::{
    deployment::Deployment,
    standin::client::{self, Got},
};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(6);
/// Tries of a submission.
const TRIES: usize = 8;

/// A stream that was asked for.
pub struct Stream {
    pub id: String,
    pub resumable: bool,
    pub by: By,
    pub got: Option<Got>,
}

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// Somebody without a key, on an open route.
    Nobody,
    /// A customer that sends less than it may.
    Cool,
    /// A customer that sends many times its limit.
    Hot,
    /// Somebody with a key that no customer ever had.
    Stranger,
}

impl By {
    /// The key that it sends; that of a customer is its name here.
    fn key(self) -> Option<&'static str> {
        match self {
            Self::Nobody => None,
            Self::Cool => Some("cool"),
            Self::Hot => Some("hot"),
            Self::Stranger => Some("stranger"),
        }
    }

    /// The customer that upstreams may be told.
    pub fn customer(self) -> Option<&'static str> {
        match self {
            Self::Cool => Some("cool"),
            Self::Hot => Some("hot"),
            Self::Nobody | Self::Stranger => None,
        }
    }
}

/// A job that was submitted.
#[derive(Clone, Default)]
pub struct Job {
    pub items: usize,
    /// Answers to its submissions; nothing for none.
    pub answers: Vec<Option<u16>>,
    /// When its end was acknowledged.
    pub ended_at: Option<Instant>,
    /// Its end was asked for.
    pub ending: bool,
}

/// What callers saw.
#[derive(Default)]
pub struct Seen {
    pub streams: RefCell<Vec<Stream>>,
    pub jobs: RefCell<BTreeMap<String, Job>>,
    /// Results by job and position, as they were first read.
    pub results: RefCell<BTreeMap<(String, usize), Value>>,
    /// Results that were read otherwise later.
    pub changed: RefCell<Vec<String>>,
}

impl Seen {
    pub fn streams(&self) -> usize {
        self.streams.borrow().len()
    }

    pub fn jobs(&self) -> usize {
        self.jobs.borrow().len()
    }

    /// Takes in the answer to a read from a position on.
    pub fn read(&self, job: &str, from: usize, page: &Value) {
        let results = page["results"].as_array().cloned().unwrap_or_default();
        for (index, result) in results.into_iter().enumerate() {
            let key = (job.to_owned(), from + index);
            let mut known = self.results.borrow_mut();
            let first = known.entry(key).or_insert_with(|| result.clone());
            if *first != result {
                let changed = format!("{job} at {}: {first} became {result}", from + index);
                self.changed.borrow_mut().push(changed);
            }
        }
    }
}

/// The callers at work.
pub struct Callers {
    seen: Rc<Seen>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Waits until all of them have their answers.
    pub async fn finish(self) -> Rc<Seen> {
        for task in self.tasks {
            task.await.unwrap();
        }
        self.seen
    }
}

/// Starts callers that ask until then.
pub fn start(deployment: &Deployment, mut random: StdRng, until: Instant) -> Callers {
    let seen = Rc::new(Seen::default());
    let hosts = deployment.callers();
    let numbers = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for _ in 0..4 {
        let caller = Caller::new(&seen, &hosts, &numbers, &mut random);
        tasks.push(task::spawn_local(caller.streams(until)));
    }
    for _ in 0..2 {
        let caller = Caller::new(&seen, &hosts, &numbers, &mut random);
        tasks.push(task::spawn_local(caller.jobs(until)));
        let caller = Caller::new(&seen, &hosts, &numbers, &mut random);
        tasks.push(task::spawn_local(caller.reads(until)));
    }
    for by in [By::Cool, By::Hot, By::Hot, By::Stranger] {
        let caller = Caller::new(&seen, &hosts, &numbers, &mut random);
        tasks.push(task::spawn_local(caller.keyed(by, until)));
    }
    Callers { seen, tasks }
}

struct Caller {
    seen: Rc<Seen>,
    hosts: Vec<SocketAddr>,
    numbers: Rc<Cell<u64>>,
    random: StdRng,
}

impl Caller {
    fn new(
        seen: &Rc<Seen>,
        hosts: &[SocketAddr],
        numbers: &Rc<Cell<u64>>,
        random: &mut StdRng,
    ) -> Self {
        Self {
            seen: Rc::clone(seen),
            hosts: hosts.to_vec(),
            numbers: Rc::clone(numbers),
            random: StdRng::seed_from_u64(random.random()),
        }
    }

    fn host(&mut self) -> SocketAddr {
        self.hosts[self.random.random_range(0..self.hosts.len())]
    }

    fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    async fn pause(&mut self, most_ms: u64) {
        let pause = self.random.random_range(5..most_ms);
        time::sleep(Duration::from_millis(pause)).await;
    }

    async fn streams(mut self, until: Instant) {
        while Instant::now() < until {
            let resumable = self.random.random();
            let id = format!("s{}", self.number());
            let path = if resumable {
                "/resumable/x"
            } else {
                "/plain/x"
            };
            let asked = client::try_stream(self.host(), path, &id);
            let got = time::timeout(PATIENCE, asked).await.ok().flatten();
            self.seen.streams.borrow_mut().push(Stream {
                id,
                resumable,
                by: By::Nobody,
                got,
            });
            self.pause(60).await;
        }
    }

    async fn keyed(mut self, by: By, until: Instant) {
        let key = by.key().unwrap_or_default();
        let most_ms = if by == By::Hot { 20 } else { 120 };
        while Instant::now() < until {
            let id = format!("k{}", self.number());
            let asked = client::try_stream_as(self.host(), "/keyed/x", &id, key);
            let got = time::timeout(PATIENCE, asked).await.ok().flatten();
            self.seen.streams.borrow_mut().push(Stream {
                id,
                resumable: true,
                by,
                got,
            });
            self.pause(most_ms).await;
        }
    }

    async fn jobs(mut self, until: Instant) {
        while Instant::now() < until {
            let id = format!("j{}", self.number());
            let items = self.random.random_range(1..5);
            self.submit(&id, items).await;
            if self.random.random_range(0..6) == 0 {
                self.end(&id).await;
            }
            self.pause(300).await;
        }
    }

    async fn submit(&mut self, id: &str, items: usize) {
        for _ in 0..TRIES {
            let submitted = client::try_submit(self.host(), id, items);
            let got = time::timeout(PATIENCE, submitted).await.ok().flatten();
            let answer = got.map(|got| got.status);
            self.answered(id, items, answer);
            if answer == Some(202) {
                return;
            }
            self.pause(200).await;
        }
    }

    fn answered(&self, id: &str, items: usize, answer: Option<u16>) {
        let mut jobs = self.seen.jobs.borrow_mut();
        let job = jobs.entry(id.to_owned()).or_default();
        job.items = items;
        job.answers.push(answer);
    }

    async fn end(&mut self, id: &str) {
        self.with(id, |job| job.ending = true);
        let host = self.host();
        let asked = client::end(host, id);
        let got = time::timeout(PATIENCE, asked).await.ok().flatten();
        if got.is_some_and(|got| got.status == 200) {
            self.with(id, |job| job.ended_at = Some(Instant::now()));
        }
    }

    async fn reads(mut self, until: Instant) {
        while Instant::now() < until {
            self.pause(120).await;
            let ids: Vec<String> = self.seen.jobs.borrow().keys().cloned().collect();
            if ids.is_empty() {
                continue;
            }
            let id = &ids[self.random.random_range(0..ids.len())];
            let from = self.random.random_range(0..3);
            let host = self.host();
            let read = client::try_results(host, id, from);
            let got = time::timeout(PATIENCE, read).await.ok().flatten();
            if let Some(got) = got.filter(|got| got.status == 200 && got.whole) {
                let page = serde_json::from_str(&got.body).unwrap();
                self.seen.read(id, from, &page);
            }
        }
    }

    fn with(&self, id: &str, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.seen.jobs.borrow_mut().get_mut(id) {
            change(job);
        }
    }
}
