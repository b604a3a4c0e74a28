//! Jobs of long items, whose texts are continued by other runs and at other hosts while hosts are stopped, killed and replaced.
//!
//! `TINBANK_SOAK_SEEDS=100..130 cargo test --release -p tinbank-entry --test soak -- --ignored --nocapture long_items`.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    fmt, fs,
    ops::Range,
    rc::Rc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use rustix::process::Signal;
use serde_json::Value;
use tokio::{
    task,
    time::{self, Instant},
};

use crate::{
    caller::{Job, Observations},
    deployment::{Deployment, ENGINES, Host},
    faults, invariants, proxy,
    standin::{
        client, engine, run_local,
        store::{self, PARTITIONS, Route},
    },
};

/// Seed of the short run.
const SEED: u64 = 1;
/// Deployments of every third seed have the most hosts. No other test uses those from here on, which also name the folders.
const FIRST_DEPLOYMENT: u64 = 3_000_000;
/// Version of the configuration, above those of the deployment.
const CONFIG_VERSION: u64 = 1_000;
const ITEMS: usize = 10;
const EVENTS: u64 = 270;
/// The first hosts run the items, and the others take over from them.
const DISTURBED_HOSTS: usize = PARTITIONS as usize + 1;
/// Interval of the events. A run lasts for several checkpoints.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Events that engines send, over all items, until most of these have a checkpoint in the log.
const CHECKPOINT_EVENTS: usize = 2_000;
/// Time in milliseconds in which others take over the items of a host: the two seconds of a membership, and their first checkpoint.
const TAKEOVER_MS: Range<u64> = 3_500..6_000;
/// Time for which a host stays away after it was killed, above the two seconds of a membership.
const KILLED_TIME: Duration = Duration::from_secs(4);
/// Time between two submissions.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(800);
/// How long a caller waits for a response, which a stopped host does not give.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the jobs may take after all faults have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);
/// Fewest texts on average that have to join several runs, so that a soak in which nothing is continued shows.
const MIN_JOINED: usize = 3;
/// Fewest items on average that have to be continued by a host that has not run them before.
const MIN_CONTINUED_ELSEWHERE: usize = 2;

/// How much is run.
#[derive(Clone, Copy)]
struct Size {
    jobs: usize,
    /// How long results are read and faults injected, from the first submission on.
    fault_duration: Duration,
}

const SHORT: Size = Size {
    jobs: 1,
    fault_duration: Duration::from_secs(9),
};
const LONG: Size = Size {
    jobs: 5,
    fault_duration: Duration::from_secs(18),
};

#[test]
fn a_short_soak_of_long_items_violates_no_guarantee() {
    soak_all([SEED].into_iter(), SHORT);
}

#[test]
#[ignore = "takes minutes; run manually"]
fn a_long_soak_of_long_items_violates_no_guarantee() {
    let range = std::env::var("TINBANK_SOAK_SEEDS").expect("TINBANK_SOAK_SEEDS=FIRST..END");
    let (first, end) = range.split_once("..").expect("FIRST..END");
    let seeds: Range<u64> = first.parse().unwrap()..end.parse().unwrap();
    soak_all(seeds, LONG);
}

/// Soaks with each seed, and checks that texts were continued at all.
fn soak_all(seeds: impl Iterator<Item = u64>, size: Size) {
    let mut continued = Continued::default();
    let mut count = 0;
    for seed in seeds {
        continued.add(&soak(seed, size));
        count += 1;
    }
    println!("{count} seeds: {continued}");
    assert!(
        continued.joined >= MIN_JOINED * count
            && continued.elsewhere >= MIN_CONTINUED_ELSEWHERE * count,
        "tests too little"
    );
}

fn soak(seed: u64, size: Size) -> Continued {
    let outcome = Rc::new(RefCell::default());
    let outcome_of_soak = Rc::clone(&outcome);
    run_local(async move {
        let deployment = Rc::new(start(seed).await);
        let observed = Rc::new(Observations::default());
        let until = Instant::now() + size.fault_duration;
        let late_appends = StdRng::seed_from_u64(seed.rotate_left(32));
        let random = StdRng::seed_from_u64;
        tokio::join!(
            submit_jobs(&deployment, &observed, seed, size.jobs),
            read_results(&deployment, &observed, random(seed + 1), until),
            disturb_all(&deployment, seed, until),
            faults::delay_appends(&deployment, late_appends, until),
        );
        deployment.heal().await;

        let violations = violations(&deployment, &observed).await;
        let continued = Continued::new(&deployment, &observed);
        println!("seed {seed}: {continued}, {} violations", violations.len());
        assert!(
            violations.is_empty(),
            "seed {seed}, logs in {}: {violations:#?}",
            deployment.folder().display()
        );
        deployment.remove_files();
        outcome_of_soak.replace(continued);
    });
    outcome.take()
}

async fn start(seed: u64) -> Deployment {
    let deployment = Deployment::start(FIRST_DEPLOYMENT + 3 * seed).await;
    let routes = [Route::unlimited("batch", "batch", 1_000, false)];
    let manifest = store::manifest(CONFIG_VERSION, &routes);
    deployment.store.configure(&manifest);
    for instance in deployment.instances() {
        instance.engine.event_count.set(EVENTS);
        instance.engine.event_interval.set(EVENT_INTERVAL);
        instance.engine.names_runs.set(true);
    }
    deployment
}

async fn submit_jobs(deployment: &Deployment, observed: &Observations, seed: u64, jobs: usize) {
    let mut random = StdRng::seed_from_u64(seed);
    for number in 0..jobs {
        // The name decides which host runs the items.
        let id = format!("j{seed}-{number}");
        while !submit(deployment, &id, &mut random).await {
            time::sleep(Duration::from_millis(100)).await;
        }
        let job = Job {
            items: ITEMS,
            statuses: vec![Some(202)],
            ..Job::default()
        };
        observed.jobs.borrow_mut().insert(id, job);
        time::sleep(SUBMISSION_INTERVAL).await;
    }
}

/// Submits a job at one of the hosts, and returns whether it was accepted.
async fn submit(deployment: &Deployment, id: &str, random: &mut StdRng) -> bool {
    let host = random_host(deployment, random).callers;
    let submitted = time::timeout(RESPONSE_TIMEOUT, client::try_submit(host, id, ITEMS));
    let response = submitted.await.ok().flatten();
    response.is_some_and(|it| it.status == 202)
}

fn random_host<'a>(deployment: &'a Deployment, random: &mut StdRng) -> &'a Host {
    &deployment.hosts[random.random_range(0..deployment.hosts.len())]
}

/// Reads results at all hosts, so that one that changes later is seen.
async fn read_results(
    deployment: &Deployment,
    observed: &Observations,
    mut random: StdRng,
    until: Instant,
) {
    while Instant::now() < until {
        time::sleep(Duration::from_millis(50)).await;
        let jobs: Vec<String> = observed.jobs.borrow().keys().cloned().collect();
        let Some(id) = jobs.choose(&mut random) else {
            continue;
        };
        let host = random_host(deployment, &mut random).callers;
        let read = time::timeout(RESPONSE_TIMEOUT, client::try_results(host, id, 0));
        let response = read.await.ok().flatten();
        if let Some(response) = response.filter(|it| it.status == 200 && it.is_complete) {
            let page = serde_json::from_str(&response.body).unwrap();
            observed.record_page(id, 0, &page);
        }
    }
}

/// Kills the host that runs the most items, once they have checkpoints, so that others continue them. Then injects faults until `until`.
async fn disturb_all(deployment: &Rc<Deployment>, seed: u64, until: Instant) {
    wait_for_events(deployment, CHECKPOINT_EVENTS).await;
    let busiest = busiest_host(deployment);
    kill(Rc::clone(deployment), busiest, KILLED_TIME).await;
    let random = StdRng::seed_from_u64;
    tokio::join!(
        inject(deployment, random(!seed), until),
        force_takeovers(deployment, random(!seed - 1), until),
    );
}

/// Injects faults that overlap, until `until`.
async fn inject(deployment: &Rc<Deployment>, mut random: StdRng, until: Instant) {
    while Instant::now() < until {
        let host = random.random_range(0..DISTURBED_HOSTS);
        let engine = random.random_range(0..ENGINES);
        let deployment = Rc::clone(deployment);
        match random.random_range(0..17) {
            0..=5 => drop(task::spawn_local(pause(
                deployment,
                host,
                duration(&mut random, 500..4_000),
            ))),
            6 | 7 => {
                let down = duration(&mut random, 50..1_500);
                task::spawn_local(kill(deployment, host, down));
            }
            8 => drop(task::spawn_local(restart(deployment, host))),
            9 => {
                let mode = store_mode(&mut random);
                let lasts = duration(&mut random, 200..1_500);
                task::spawn_local(disturb_store(deployment, mode, lasts));
            }
            10 | 11 => {
                let mode = proxy_mode(&mut random);
                let lasts = duration(&mut random, 300..4_000);
                task::spawn_local(async move {
                    disturb(&deployment.hosts[host].store_proxy, mode, lasts).await;
                });
            }
            12 | 13 => {
                let mode = proxy_mode(&mut random);
                let lasts = duration(&mut random, 20..1_500);
                task::spawn_local(async move {
                    disturb(&deployment.engine(engine).proxy, mode, lasts).await;
                });
            }
            14 | 15 => {
                let mode = engine_mode(&mut random);
                let lasts = duration(&mut random, 50..600);
                task::spawn_local(disturb_engine(deployment, engine, mode, lasts));
            }
            _ => deployment.release(engine),
        }
        time::sleep(duration(&mut random, 80..400)).await;
    }
}

/// Stops the host that runs the most items for so long that others take over, again and again until `until`.
async fn force_takeovers(deployment: &Rc<Deployment>, mut random: StdRng, until: Instant) {
    while Instant::now() < until {
        let due = sent_events(deployment) + CHECKPOINT_EVENTS;
        let _ = time::timeout_at(until, wait_for_events(deployment, due)).await;
        let lasts = duration(&mut random, TAKEOVER_MS);
        pause(Rc::clone(deployment), busiest_host(deployment), lasts).await;
    }
}

async fn wait_for_events(deployment: &Deployment, count: usize) {
    while sent_events(deployment) < count {
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the number of events that all engines have sent.
fn sent_events(deployment: &Deployment) -> usize {
    let instances = deployment.instances();
    let sent = instances.map(|it| it.engine.sent_events.borrow().len());
    sent.sum()
}

/// Returns the index of the host that runs the most items, by the logs.
fn busiest_host(deployment: &Deployment) -> usize {
    let running = |index: &usize| {
        let log = log_of(deployment, *index);
        let count = |event: &str| log.lines().filter(|it| it.contains(event)).count();
        count("item sent to an upstream").saturating_sub(count("item left its upstream"))
    };
    let hosts = 0..deployment.hosts.len();
    hosts.max_by_key(running).unwrap_or_default()
}

fn log_of(deployment: &Deployment, host: usize) -> String {
    let path = deployment.folder().join(format!("host-{host}.log"));
    fs::read_to_string(path).unwrap()
}

fn duration(random: &mut StdRng, ms: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(ms))
}

async fn pause(deployment: Rc<Deployment>, host: usize, lasts: Duration) {
    let host = &deployment.hosts[host];
    host.signal(Signal::STOP);
    time::sleep(lasts).await;
    host.signal(Signal::CONT);
}

async fn kill(deployment: Rc<Deployment>, host: usize, down: Duration) {
    let host = &deployment.hosts[host];
    host.kill();
    time::sleep(down).await;
    host.start();
}

async fn restart(deployment: Rc<Deployment>, host: usize) {
    let host = &deployment.hosts[host];
    host.stop().await;
    host.start();
}

async fn disturb_store(deployment: Rc<Deployment>, mode: store::Mode, lasts: Duration) {
    deployment.store.mode.set(mode);
    time::sleep(lasts).await;
    deployment.store.mode.set(store::Mode::Up);
}

async fn disturb(proxy: &proxy::Proxy, mode: proxy::Mode, lasts: Duration) {
    proxy.set(mode);
    time::sleep(lasts).await;
    proxy.set(proxy::Mode::Pass);
}

async fn disturb_engine(
    deployment: Rc<Deployment>,
    index: usize,
    mode: engine::Mode,
    lasts: Duration,
) {
    let engine = &deployment.engine(index).engine;
    engine.mode.set(mode);
    time::sleep(lasts).await;
    engine.mode.set(engine::Mode::Serves);
}

fn store_mode(random: &mut StdRng) -> store::Mode {
    match random.random_range(0..4) {
        0 => store::Mode::Busy,
        1 => store::Mode::DropsAnswers,
        2 => store::Mode::IgnoresLongPolls,
        _ => store::Mode::DropsSomeAnswers,
    }
}

fn proxy_mode(random: &mut StdRng) -> proxy::Mode {
    match random.random_range(0..4) {
        0 => proxy::Mode::Delay,
        1 => proxy::Mode::Unresponsive,
        2 => proxy::Mode::OneWay,
        _ => proxy::Mode::Reset,
    }
}

fn engine_mode(random: &mut StdRng) -> engine::Mode {
    let event = random.random_range(0..EVENTS);
    match random.random_range(0..3) {
        0 => engine::Mode::StallsAfter(event),
        _ => engine::Mode::BreaksAfter(event),
    }
}

/// Returns a description of each violation, once all jobs are complete at every host.
async fn violations(deployment: &Deployment, observed: &Observations) -> Vec<String> {
    let jobs = observed.jobs.borrow().clone();
    let until = Instant::now() + COMPLETION_TIMEOUT;
    let mut violations = Vec::new();
    for (id, job) in &jobs {
        let read = invariants::wait_until_complete(deployment, observed, id, job, until).await;
        violations.extend(read.err());
    }
    for ((job, _), result) in observed.results.borrow().iter() {
        violations.extend(result_violation(deployment, job, result));
    }
    violations.extend(observed.changed.borrow().iter().cloned());
    violations
}

/// An event of a text: its number, and the run that sent it.
struct Event<'a> {
    number: u64,
    engine: &'a str,
    run: usize,
}

impl<'a> Event<'a> {
    fn parse(line: &'a str) -> Option<Self> {
        let mut parts = line.split('.');
        let event = Self {
            engine: parts.next()?,
            number: parts.next()?.parse().ok()?,
            run: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(event)
    }

    fn is_of(&self, run: (&str, usize)) -> bool {
        (self.engine, self.run) == run
    }
}

fn result_violation(deployment: &Deployment, job: &str, result: &Value) -> Option<String> {
    let item = result["id"].as_str()?;
    if !item.starts_with(&format!("{job}-")) {
        return Some(format!("{job} lists {item}"));
    }
    if result["state"] != "completed" {
        return Some(format!("{item} was abandoned, although it can complete"));
    }
    let lines: Vec<&str> = result["message"].as_str()?.lines().collect();
    let events: Option<Vec<_>> = lines.iter().map(|it| Event::parse(it)).collect();
    let Some(events) = events else {
        return Some(format!(
            "{item} has a line that no engine has sent: {lines:?}"
        ));
    };
    text_violation(deployment, item, &events)
}

/// Checks that a text has each event once, that each of its runs was asked to go on where it does, and that all are of one version.
fn text_violation(deployment: &Deployment, item: &str, events: &[Event]) -> Option<String> {
    if events.len() as u64 != EVENTS {
        return Some(format!("{item} has {} of {EVENTS} events", events.len()));
    }
    let mut previous = ("", 0);
    let mut versions = BTreeSet::new();
    for (after, event) in (0..).zip(events) {
        if event.number != after + 1 {
            return Some(format!("{item} has event {} after {after}", event.number));
        }
        if !event.is_of(previous) && !was_asked(deployment, item, event, after) {
            let Event { engine, run, .. } = event;
            return Some(format!(
                "{item} goes on with run {run} at {engine} after event {after}, which was not asked for it"
            ));
        }
        versions.insert(deployment.store.version(event.engine));
        previous = (event.engine, event.run);
    }
    (versions.len() > 1).then(|| format!("{item} has events of {versions:?}"))
}

/// Returns whether the run of an event was asked for this item and to begin after an event.
fn was_asked(deployment: &Deployment, item: &str, event: &Event, after: u64) -> bool {
    let mut instances = deployment.instances();
    let instance = instances.find(|it| it.engine.name == event.engine);
    instance.is_some_and(|it| {
        let runs = it.engine.runs.borrow();
        let run = runs.get(event.run);
        run.is_some_and(|it| it.id == item && it.after == after)
    })
}

/// Returns the number of runs that a text joins.
fn run_count(result: &Value) -> usize {
    let text = result["message"].as_str().unwrap_or_default();
    let events = text.lines().filter_map(Event::parse);
    let runs: BTreeSet<_> = events.map(|it| (it.engine.to_owned(), it.run)).collect();
    runs.len()
}

/// How much of what can go wrong was under way.
#[derive(Default)]
struct Continued {
    items: usize,
    /// Texts that join several runs.
    joined: usize,
    /// Items that began in the middle at a host that had not run them before.
    elsewhere: usize,
    /// Runs that began an item anew although there was a text.
    begun_anew: usize,
    /// Runs that were discarded because another one was ahead.
    discarded: usize,
}

impl fmt::Display for Continued {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} items, {} of several runs, {} continued at other hosts, {} begun anew, {} runs discarded",
            self.items, self.joined, self.elsewhere, self.begun_anew, self.discarded
        )
    }
}

impl Continued {
    fn new(deployment: &Deployment, observed: &Observations) -> Self {
        let results = observed.results.borrow();
        let joined = results.values().filter(|it| run_count(it) > 1);
        let mut continued = Self {
            items: results.len(),
            joined: joined.count(),
            ..Self::default()
        };
        for index in 0..deployment.hosts.len() {
            continued.add_log(&log_of(deployment, index));
        }
        continued
    }

    /// Adds the log of a host.
    fn add_log(&mut self, log: &str) {
        let mut first_runs = BTreeMap::new();
        for line in log.lines() {
            if line.contains("run of an item discarded") {
                self.discarded += 1;
            }
            if !line.contains("item sent to an upstream") {
                continue;
            }
            self.begun_anew += usize::from(line.contains("restarts=true"));
            let item = (field(line, "job"), field(line, "item"));
            first_runs.entry(item).or_insert(field(line, "after"));
        }
        let after = first_runs.values();
        self.elsewhere += after.filter(|it| **it != Some("0")).count();
    }

    fn add(&mut self, other: &Self) {
        self.items += other.items;
        self.joined += other.joined;
        self.elsewhere += other.elsewhere;
        self.begun_anew += other.begun_anew;
        self.discarded += other.discarded;
    }
}

/// Returns the value of a field of a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = line.split(' ');
    fields.find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
}
