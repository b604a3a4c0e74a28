//! The course of the demo.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Map, Value};
use tinbank_standin::{Standin, engine::answer::Prompt};
use tokio::time::Instant;

use crate::{
    balancer::Balancer,
    entry::{self, Entry, Settings},
    example::Example,
    platform, publish,
    summary::Summary,
    sweep::Sweep,
    tally::{Counts, Tally},
    traffic::{self, Latency},
};

/// Time that open lots have to end after the last was handed in.
const DRAIN: Duration = Duration::from_secs(25);

/// Items in a lot.
const LOT: usize = 60;
/// Lots that are open at once.
const OPEN: usize = 8;

/// Time of online traffic before the first phase that is measured, so that connections are open and prefixes cached in
/// both phases.
const WARM_UP: Duration = Duration::from_secs(4);

/// Why the demo did not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stand-ins don't start.
    #[error(transparent)]
    Platform(#[from] tinbank_standin::Error),
    /// The configuration is not in force.
    #[error(transparent)]
    Publish(#[from] publish::Error),
    /// The entry hosts don't start.
    #[error(transparent)]
    Entry(#[from] entry::Error),
    /// The system gives no threads.
    #[error("no runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// A part of the demo ended early.
    #[error("a task of the demo ended early: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// Runs an example for a time and counts.
///
/// # Errors
/// The deployment does not start.
pub fn run(example: Example, lasting: Duration) -> Result<Summary, Error> {
    let runtime = tokio::runtime::Runtime::new()?;
    let summary = runtime.block_on(course(Arc::new(example), lasting));
    // Connections of a stopped deployment are not waited for.
    runtime.shutdown_background();
    summary
}

async fn course(example: Arc<Example>, lasting: Duration) -> Result<Summary, Error> {
    let progress = Progress::new();
    progress.step("starting the platform's stand-ins");
    let standin = platform::start(&example).await?;
    let addresses = entry::Addresses::of(&standin)?;
    progress.step("publishing template and customer through the log");
    publish::publish(addresses.log, &example).await?;
    progress.step("starting the entry hosts");
    let entry = Entry::start(&example, &standin, addresses, Settings::of(&example)).await?;
    let traffic = Traffic {
        example: example.clone(),
        entry: &entry,
        tally: Arc::default(),
        progress: progress.clone(),
    };
    progress.step("warming up");
    traffic.online("warm-up", WARM_UP).await;
    progress.step("online traffic alone");
    let alone = traffic.online("alone", lasting / 3).await;
    progress.step("online traffic beside the sweep");
    let (beside, sweep) = traffic.beside(lasting - lasting / 3).await?;
    let online = count(&traffic.tally, &standin);
    let items = count(&sweep.tally, &standin);
    let hosts = entry.hosts();
    progress.step("stopping");
    entry.stop().await;
    let engines = standin.engines().len();
    standin.stop().await;
    progress.finish();
    Ok(Summary {
        example: example.deployment.name.clone(),
        hosts,
        engines,
        items,
        online,
        alone,
        beside,
        sweep: sweep.rate,
    })
}

/// A sweep that has ended.
struct Swept {
    rate: crate::sweep::Rate,
    tally: Arc<Mutex<Tally>>,
}

struct Traffic<'a> {
    example: Arc<Example>,
    entry: &'a Entry,
    tally: Arc<Mutex<Tally>>,
    progress: Progress,
}

impl Traffic<'_> {
    async fn online(&self, phase: &str, lasting: Duration) -> Latency {
        let hosts = Balancer::new(self.entry.online());
        let seen = traffic::run(traffic::Traffic {
            example: &self.example,
            hosts: &hosts,
            phase,
            lasting,
            seed: traffic::SEED,
            tally: &self.tally,
            progress: &self.progress,
        });
        seen.await.first
    }

    async fn beside(&self, lasting: Duration) -> Result<(Latency, Swept), Error> {
        let tally: Arc<Mutex<Tally>> = Arc::default();
        let sweep = Sweep {
            name: "sweep".to_owned(),
            lot: LOT,
            open: OPEN,
            example: self.example.clone(),
            hosts: Balancer::new(self.entry.batch()),
            tally: tally.clone(),
            progress: self.progress.clone(),
        };
        let until = Instant::now() + lasting;
        let sweep = tokio::spawn(sweep.run(until, until + DRAIN));
        let beside = self.online("beside", lasting).await;
        let rate = sweep.await?;
        Ok((beside, Swept { rate, tally }))
    }
}

/// Adds the engines' accounts, and counts.
pub fn count(tally: &Mutex<Tally>, standin: &Standin) -> Counts {
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    for service in standin.engines().iter().chain(standin.plain()) {
        service.account.runs().iter().for_each(|run| tally.ran(run));
    }
    tally.counts()
}

/// A body by which the engines' accounts name the request.
pub fn with_reference(body: &Map<String, Value>, reference: &str) -> Map<String, Value> {
    let mut body = body.clone();
    body.insert("reference".to_owned(), reference.into());
    body
}

/// The answer that a body has to get from any engine; empty, which none is, for a body that no engine reads.
pub(crate) fn expected(body: &Map<String, Value>) -> String {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let longest = tinbank_standin::engine::Settings::default().max_tokens;
    let prompt = Prompt::read(&body);
    prompt.map_or(String::new(), |prompt| prompt.answer(longest).whole())
}

/// Progress on the terminal; clones share it.
#[derive(Clone, Debug)]
pub struct Progress {
    bar: ProgressBar,
    online: Arc<AtomicU64>,
    items: Arc<AtomicU64>,
    notes: Arc<AtomicU64>,
}

/// Most notes that are shown, so that one fault does not flood the terminal.
const MOST_NOTES: u64 = 20;

impl Default for Progress {
    fn default() -> Self {
        Self::new()
    }
}

impl Progress {
    /// Nothing is done yet.
    pub fn new() -> Self {
        let bar = ProgressBar::new_spinner();
        if let Ok(style) = ProgressStyle::with_template("{spinner} {elapsed} {prefix}: {msg}") {
            bar.set_style(style);
        }
        bar.enable_steady_tick(Duration::from_millis(200));
        Self {
            bar,
            online: Arc::default(),
            items: Arc::default(),
            notes: Arc::default(),
        }
    }

    /// A new part begins.
    pub fn step(&self, what: &'static str) {
        self.bar.set_prefix(what);
        if self.bar.is_hidden() {
            eprintln!("{what}");
        }
    }

    /// All is done.
    pub fn finish(&self) {
        self.bar.finish_and_clear();
    }

    /// An online request has its answer.
    pub(crate) fn online(&self) {
        self.online.fetch_add(1, Ordering::Relaxed);
        self.show();
    }

    /// Items have their answers.
    pub(crate) fn items(&self, items: u64) {
        self.items.fetch_add(items, Ordering::Relaxed);
        self.show();
    }

    /// Something went wrong.
    pub fn note(&self, text: &str) {
        if self.notes.fetch_add(1, Ordering::Relaxed) < MOST_NOTES {
            self.bar.suspend(|| eprintln!("{text}"));
        }
    }

    fn show(&self) {
        let online = self.online.load(Ordering::Relaxed);
        let items = self.items.load(Ordering::Relaxed);
        self.bar
            .set_message(format!("{online} online answers, {items} items"));
    }
}
