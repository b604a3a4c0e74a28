//! Callers, and a record of what they observe.

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
    standin::client::{self, Response},
};

/// How long a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Most attempts to submit a job.
const MAX_SUBMISSIONS: usize = 8;
/// Most attempts to resume a stream.
const MAX_RESUMES: usize = 4;

/// A streaming request and its response.
pub struct Stream {
    pub id: String,
    /// Ids of the attempts that resumed it.
    pub retries: Vec<String>,
    pub resumable: bool,
    pub sender: Sender,
    /// The response, with the events of all attempts.
    pub response: Option<Response>,
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// Without a key, on an open route.
    Anonymous,
    /// A customer that stays within its limit.
    WithinLimit,
    /// A customer that exceeds its limit many times.
    OverLimit,
    /// With a key that no customer ever had.
    UnknownKey,
}

impl Sender {
    /// Returns the key that is sent. The key of a customer equals its name.
    fn key(self) -> Option<&'static str> {
        match self {
            Self::Anonymous => None,
            Self::WithinLimit => Some("cool"),
            Self::OverLimit => Some("hot"),
            Self::UnknownKey => Some("stranger"),
        }
    }

    /// Returns the customer that is reported to upstreams.
    pub fn customer(self) -> Option<&'static str> {
        match self {
            Self::WithinLimit => Some("cool"),
            Self::OverLimit => Some("hot"),
            Self::Anonymous | Self::UnknownKey => None,
        }
    }
}

/// A job that was submitted.
#[derive(Clone, Default)]
pub struct Job {
    pub items: usize,
    /// Status of the response to each submission, or `None` if there was none.
    pub statuses: Vec<Option<u16>>,
    /// When the cancel was acknowledged.
    pub cancelled_at: Option<Instant>,
    pub cancel_requested: bool,
}

/// What callers observed.
#[derive(Default)]
pub struct Observations {
    pub streams: RefCell<Vec<Stream>>,
    /// Attempts that went on with a stream.
    pub resumed: Cell<usize>,
    pub jobs: RefCell<BTreeMap<String, Job>>,
    /// Results by job and position, as they were first read.
    pub results: RefCell<BTreeMap<(String, usize), Value>>,
    /// Descriptions of results that differed in a later read.
    pub changed: RefCell<Vec<String>>,
}

impl Observations {
    pub fn streams(&self) -> usize {
        self.streams.borrow().len()
    }

    pub fn jobs(&self) -> usize {
        self.jobs.borrow().len()
    }

    /// Records a page of results that was read from position `from` on.
    pub fn record_page(&self, job: &str, from: usize, page: &Value) {
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

/// The running callers.
pub struct Callers {
    observed: Rc<Observations>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Waits until all callers are done.
    pub async fn finish(self) -> Rc<Observations> {
        for task in self.tasks {
            task.await.unwrap();
        }
        self.observed
    }
}

/// Starts callers that send requests until `until`.
pub fn start(deployment: &Deployment, mut random: StdRng, until: Instant) -> Callers {
    let observed = Rc::new(Observations::default());
    let hosts = deployment.callers();
    let numbers = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for _ in 0..4 {
        let caller = Caller::new(&observed, &hosts, &numbers, &mut random);
        tasks.push(task::spawn_local(caller.send_streams(until)));
    }
    for _ in 0..2 {
        let caller = Caller::new(&observed, &hosts, &numbers, &mut random);
        tasks.push(task::spawn_local(caller.send_jobs(until)));
        let caller = Caller::new(&observed, &hosts, &numbers, &mut random);
        tasks.push(task::spawn_local(caller.read_results(until)));
    }
    for sender in [
        Sender::WithinLimit,
        Sender::OverLimit,
        Sender::OverLimit,
        Sender::UnknownKey,
    ] {
        let caller = Caller::new(&observed, &hosts, &numbers, &mut random);
        tasks.push(task::spawn_local(caller.send_keyed_streams(sender, until)));
    }
    Callers { observed, tasks }
}

struct Caller {
    observed: Rc<Observations>,
    hosts: Vec<SocketAddr>,
    numbers: Rc<Cell<u64>>,
    random: StdRng,
}

impl Caller {
    fn new(
        observed: &Rc<Observations>,
        hosts: &[SocketAddr],
        numbers: &Rc<Cell<u64>>,
        random: &mut StdRng,
    ) -> Self {
        Self {
            observed: Rc::clone(observed),
            hosts: hosts.to_vec(),
            numbers: Rc::clone(numbers),
            random: StdRng::seed_from_u64(random.random()),
        }
    }

    fn random_host(&mut self) -> SocketAddr {
        self.hosts[self.random.random_range(0..self.hosts.len())]
    }

    fn next_number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    async fn pause(&mut self, max_ms: u64) {
        let pause = self.random.random_range(5..max_ms);
        time::sleep(Duration::from_millis(pause)).await;
    }

    async fn send_streams(mut self, until: Instant) {
        while Instant::now() < until {
            let resumable = self.random.random();
            let id = format!("s{}", self.next_number());
            let path = if resumable {
                "/resumable/x"
            } else {
                "/plain/x"
            };
            let request = client::try_stream(self.random_host(), path, &id);
            let response = time::timeout(RESPONSE_TIMEOUT, request)
                .await
                .ok()
                .flatten();
            let mut stream = Stream {
                id,
                retries: Vec::new(),
                resumable,
                sender: Sender::Anonymous,
                response,
            };
            if resumable {
                self.resume(&mut stream, path).await;
            }
            self.observed.streams.borrow_mut().push(stream);
            self.pause(60).await;
        }
    }

    /// Resumes a stream that broke after its first event at other hosts, a few times.
    async fn resume(&mut self, stream: &mut Stream, path: &str) {
        for retry in 0..MAX_RESUMES {
            let Some(response) = &mut stream.response else {
                return;
            };
            if response.is_complete {
                return;
            }
            // A caller drops an event that was cut.
            let end = response.body.rfind("\n\n").map_or(0, |at| at + 2);
            response.body.truncate(end);
            let last = response.body.matches("id: ").count() as u64;
            if last == 0 {
                return;
            }
            let id = format!("{}-{retry}", stream.id);
            let host = self.random_host();
            let request = client::try_resume(host, path, &id, &stream.id, last);
            let rest = time::timeout(RESPONSE_TIMEOUT, request)
                .await
                .ok()
                .flatten();
            stream.retries.push(id);
            if let Some(rest) = rest.filter(|it| it.status == 200) {
                response.body.push_str(&rest.body);
                response.is_complete = rest.is_complete;
                self.observed.resumed.set(self.observed.resumed.get() + 1);
            }
            self.pause(40).await;
        }
    }

    async fn send_keyed_streams(mut self, sender: Sender, until: Instant) {
        let key = sender.key().unwrap_or_default();
        let max_pause_ms = if sender == Sender::OverLimit { 20 } else { 120 };
        while Instant::now() < until {
            let id = format!("k{}", self.next_number());
            let request = client::try_stream_as(self.random_host(), "/keyed/x", &id, key);
            let response = time::timeout(RESPONSE_TIMEOUT, request)
                .await
                .ok()
                .flatten();
            self.observed.streams.borrow_mut().push(Stream {
                id,
                retries: Vec::new(),
                resumable: true,
                sender,
                response,
            });
            self.pause(max_pause_ms).await;
        }
    }

    async fn send_jobs(mut self, until: Instant) {
        while Instant::now() < until {
            let id = format!("j{}", self.next_number());
            let items = self.random.random_range(1..5);
            self.submit(&id, items).await;
            if self.random.random_range(0..6) == 0 {
                self.cancel(&id).await;
            }
            self.pause(300).await;
        }
    }

    async fn submit(&mut self, id: &str, items: usize) {
        for _ in 0..MAX_SUBMISSIONS {
            let request = client::try_submit(self.random_host(), id, items);
            let response = time::timeout(RESPONSE_TIMEOUT, request)
                .await
                .ok()
                .flatten();
            let status = response.map(|response| response.status);
            self.record_submission(id, items, status);
            if status == Some(202) {
                return;
            }
            self.pause(200).await;
        }
    }

    fn record_submission(&self, id: &str, items: usize, status: Option<u16>) {
        let mut jobs = self.observed.jobs.borrow_mut();
        let job = jobs.entry(id.to_owned()).or_default();
        job.items = items;
        job.statuses.push(status);
    }

    async fn cancel(&mut self, id: &str) {
        self.update_job(id, |job| job.cancel_requested = true);
        let host = self.random_host();
        let request = client::cancel(host, id);
        let response = time::timeout(RESPONSE_TIMEOUT, request)
            .await
            .ok()
            .flatten();
        if response.is_some_and(|response| response.status == 200) {
            self.update_job(id, |job| job.cancelled_at = Some(Instant::now()));
        }
    }

    async fn read_results(mut self, until: Instant) {
        while Instant::now() < until {
            self.pause(120).await;
            let ids: Vec<String> = self.observed.jobs.borrow().keys().cloned().collect();
            if ids.is_empty() {
                continue;
            }
            let id = &ids[self.random.random_range(0..ids.len())];
            let from = self.random.random_range(0..3);
            let host = self.random_host();
            let request = client::try_results(host, id, from);
            let response = time::timeout(RESPONSE_TIMEOUT, request)
                .await
                .ok()
                .flatten();
            if let Some(response) =
                response.filter(|response| response.status == 200 && response.is_complete)
            {
                let page = serde_json::from_str(&response.body).unwrap();
                self.observed.record_page(id, from, &page);
            }
        }
    }

    fn update_job(&self, id: &str, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.observed.jobs.borrow_mut().get_mut(id) {
            change(job);
        }
    }
}
