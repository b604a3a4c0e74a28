//! The promises of the pages, checked from what callers and engines saw.

use std::{collections::BTreeSet, time::Duration};

use serde_json::Value;
use tokio::time::{self, Instant};

use crate::{
    caller::{By, Job, Seen, Stream},
    deployment::Deployment,
    standin::{
        client,
        engine::{EVENTS, Run},
    },
};

/// How long the rest of the jobs may take once all is well.
const FINISH: Duration = Duration::from_secs(40);
/// After the acknowledged end of a job nothing of it may begin once this has passed.
const CANCELLED: Duration = Duration::from_secs(3);

/// Windows in which limits are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// What the hot customer may have in a window: two a second and two on top, a tenth more, and 20.
const MOST_IN_WINDOW: usize = 33;

/// A run, and the engine that it was at.
struct Ran {
    engine: String,
    run: Run,
}

/// Each broken promise, in words.
pub async fn broken(deployment: &Deployment, seen: &Seen) -> Vec<String> {
    let mut broken = Vec::new();
    for stream in seen.streams.borrow().iter() {
        broken.extend(stream_broken(deployment, stream));
        broken.extend(customer_broken(deployment, stream));
    }
    broken.extend(limit_broken(deployment, seen));
    let jobs = seen.jobs.borrow().clone();
    let until = Instant::now() + FINISH;
    for (id, job) in &jobs {
        if job.answers.contains(&Some(202)) {
            let read = finished(deployment, seen, id, job, until).await;
            broken.extend(read.err());
        } else if job
            .answers
            .iter()
            .all(|answer| matches!(answer, Some(503 | 429)))
        {
            for index in 0..job.items {
                if !runs(deployment, &format!("{id}-{index}")).is_empty() {
                    broken.push(format!("{id} was refused and ran"));
                }
            }
        }
        broken.extend(cancelled_broken(deployment, id, job));
    }
    for ((job, position), result) in seen.results.borrow().iter() {
        broken.extend(result_broken(deployment, job, *position, result));
    }
    broken.extend(seen.changed.borrow().iter().cloned());
    broken
}

fn runs(deployment: &Deployment, id: &str) -> Vec<Ran> {
    let engines = deployment.engines.iter();
    let runs = engines.flat_map(|engine| {
        let runs = engine.runs_of(id).into_iter();
        runs.map(|run| Ran {
            engine: engine.name.clone(),
            run,
        })
    });
    runs.collect()
}

/// Whether upstreams were told whose request it is, and nothing else of it.
fn customer_broken(deployment: &Deployment, stream: &Stream) -> Option<String> {
    let (id, by) = (&stream.id, stream.by);
    let runs = runs(deployment, id);
    if by == By::Stranger && !runs.is_empty() {
        return Some(format!("{id} has the key of nobody, and ran"));
    }
    let wrong = runs
        .iter()
        .find(|ran| ran.run.has_key || ran.run.customer.as_deref() != by.customer())?;
    let run = &wrong.run;
    Some(format!(
        "{id} of {by:?} ran for {:?}, key {}",
        run.customer, run.has_key
    ))
}

/// Whether the customer that sends many times its limit had more of it than it may, in any window.
fn limit_broken(deployment: &Deployment, seen: &Seen) -> Option<String> {
    let streams = seen.streams.borrow();
    let hot = streams.iter().filter(|stream| stream.by == By::Hot);
    // Attempts of one request are one request.
    let first = hot.filter_map(|stream| {
        let runs = runs(deployment, &stream.id);
        runs.iter().map(|ran| ran.run.at).min()
    });
    let mut at: Vec<Instant> = first.collect();
    at.sort();
    let within = |from: &Instant| {
        at.iter()
            .filter(|it| *it >= from && **it < *from + WINDOW)
            .count()
    };
    let most = at.iter().map(within).max().unwrap_or_default();
    (most > MOST_IN_WINDOW)
        .then(|| format!("a customer had {most} requests of {MOST_IN_WINDOW} in a window"))
}

fn stream_broken(deployment: &Deployment, stream: &Stream) -> Option<String> {
    let id = &stream.id;
    let runs = runs(deployment, id);
    if !stream.resumable && runs.len() > 1 {
        return Some(format!("{id} may run once and ran {} times", runs.len()));
    }
    let got = stream.got.as_ref()?;
    match got.status {
        503 | 429 if !stream.resumable && !runs.is_empty() => {
            Some(format!("{id} was told that it had not run, and ran"))
        }
        200 if got.whole => {
            let data: Vec<&str> = got
                .body
                .lines()
                .filter_map(|line| line.strip_prefix("data: "))
                .collect();
            text_broken(id, &data, &runs)
        }
        _ => None,
    }
}

/// Whether a text has each event once, and each engine went on where it was asked to.
fn text_broken(id: &str, data: &[&str], runs: &[Ran]) -> Option<String> {
    if data.len() as u64 != EVENTS {
        return Some(format!("{id} has {} events of {EVENTS}", data.len()));
    }
    let mut engine = "";
    for (index, line) in data.iter().enumerate() {
        let after = index as u64;
        let (name, number) = line.split_once('.')?;
        if number.parse() != Ok(after + 1) {
            return Some(format!("{id} has event {number} behind {after}"));
        }
        let began = runs
            .iter()
            .any(|ran| ran.engine == name && ran.run.after == after);
        if name != engine && !began {
            return Some(format!(
                "{id} goes on at {name} behind {after}, which was not asked to"
            ));
        }
        engine = name;
    }
    None
}

fn result_broken(
    deployment: &Deployment,
    job: &str,
    position: usize,
    result: &Value,
) -> Option<String> {
    let item = result["id"].as_str()?;
    if !item.starts_with(&format!("{job}-")) {
        return Some(format!("{job} lists {item} at {position}"));
    }
    if result["state"] != "completed" {
        return Some(format!("{item} was abandoned, though it can be done"));
    }
    let data: Vec<&str> = result["message"].as_str()?.lines().collect();
    text_broken(item, &data, &runs(deployment, item))
}

fn cancelled_broken(deployment: &Deployment, id: &str, job: &Job) -> Option<String> {
    let until = job.ended_at? + CANCELLED;
    let mut items = (0..job.items).flat_map(|index| runs(deployment, &format!("{id}-{index}")));
    let late = items.find(|ran| ran.run.at > until)?;
    Some(format!("{} began long after the end of {id}", late.run.id))
}

/// Reads a job at every host until all items are there, or it is known to be ended.
async fn finished(
    deployment: &Deployment,
    seen: &Seen,
    id: &str,
    job: &Job,
    until: Instant,
) -> Result<(), String> {
    for host in &deployment.hosts {
        loop {
            if let Some(results) = results(seen, host.callers, id).await {
                let items: BTreeSet<&str> =
                    results.iter().filter_map(|it| it["id"].as_str()).collect();
                if items.len() != results.len() {
                    return Err(format!("{id} lists an item twice"));
                }
                if items.len() == job.items || job.ending {
                    break;
                }
            }
            if Instant::now() > until {
                return Err(format!(
                    "{id} was accepted and is not done at {}",
                    host.callers
                ));
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// All results of a job at a host, page by page.
async fn results(seen: &Seen, host: std::net::SocketAddr, id: &str) -> Option<Vec<Value>> {
    let mut all = Vec::new();
    loop {
        let got = client::try_results(host, id, all.len()).await?;
        if got.status != 200 {
            return None;
        }
        let page: Value = serde_json::from_str(&got.body).ok()?;
        seen.read(id, all.len(), &page);
        let results = page["results"].as_array()?.clone();
        if results.is_empty() {
            return Some(all);
        }
        all.extend(results);
        if page["total"].as_u64()? as usize == all.len() {
            return Some(all);
        }
    }
}
