//! Checks of the documented guarantees against what callers and engines observed.

use std::{collections::BTreeSet, time::Duration};

use serde_json::Value;
use tokio::time::{self, Instant};

use crate::{
    caller::{Job, Observations, Sender, Stream},
    deployment::{Deployment, MAX_ATTEMPTS},
    standin::{
        client,
        engine::{EVENTS, Run},
    },
};

/// How long the remaining jobs may take after all faults have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);
/// How long items of a cancelled job may still start after the cancel was acknowledged.
const CANCEL_DELAY: Duration = Duration::from_secs(3);

/// Length of the windows in which limits are checked.
const WINDOW: Duration = Duration::from_secs(5);
/// Most requests of the customer over its limit in a window: (2/s for 5 s + burst 2) * 1.1 + slack 20.
const MAX_IN_WINDOW: usize = 33;

/// A run of a request at an engine.
struct EngineRun {
    engine: String,
    run: Run,
}

/// Returns a description of each violation.
pub async fn violations(deployment: &Deployment, observed: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for stream in observed.streams.borrow().iter() {
        violations.extend(stream_violation(deployment, stream));
        violations.extend(customer_violation(deployment, stream));
        violations.extend(budget_violations(deployment, stream));
    }
    violations.extend(limit_violation(deployment, observed));
    let jobs = observed.jobs.borrow().clone();
    let until = Instant::now() + COMPLETION_TIMEOUT;
    for (id, job) in &jobs {
        if job.statuses.contains(&Some(202)) {
            let read = wait_until_complete(deployment, observed, id, job, until).await;
            violations.extend(read.err());
        } else if job
            .statuses
            .iter()
            .all(|status| matches!(status, Some(503 | 429)))
        {
            for index in 0..job.items {
                if !runs(deployment, &format!("{id}-{index}")).is_empty() {
                    violations.push(format!("{id} was refused, but ran"));
                }
            }
        }
        violations.extend(cancel_violation(deployment, id, job));
    }
    for ((job, position), result) in observed.results.borrow().iter() {
        violations.extend(result_violation(deployment, job, *position, result));
    }
    violations.extend(observed.changed.borrow().iter().cloned());
    violations
}

fn runs(deployment: &Deployment, id: &str) -> Vec<EngineRun> {
    let engines = deployment.instances().map(|it| &it.engine);
    let runs = engines.flat_map(|engine| {
        let runs = engine.runs_of(id).into_iter();
        runs.map(|run| EngineRun {
            engine: engine.name.clone(),
            run,
        })
    });
    runs.collect()
}

/// Checks that engines received the right customer and no key, and that unknown keys were rejected.
fn customer_violation(deployment: &Deployment, stream: &Stream) -> Option<String> {
    let (id, sender) = (&stream.id, stream.sender);
    let runs = runs(deployment, id);
    if sender == Sender::UnknownKey && !runs.is_empty() {
        return Some(format!("{id} has an unknown key, but ran"));
    }
    let wrong = runs
        .iter()
        .find(|it| it.run.has_key || it.run.customer.as_deref() != sender.customer())?;
    let run = &wrong.run;
    Some(format!(
        "{id} of {sender:?} ran for customer {:?}, with key: {}",
        run.customer, run.has_key
    ))
}

/// Checks that each attempt of a caller ran at no more engines than its route allows, for no longer than the caller stated.
fn budget_violations(deployment: &Deployment, stream: &Stream) -> Vec<String> {
    let max = match stream.resumable {
        true => MAX_ATTEMPTS,
        false => 1,
    };
    let attempts = std::iter::once(&stream.id).chain(&stream.retries);
    let violation = |id: &String| {
        let runs = runs(deployment, id);
        let granted = runs.iter().map(|it| it.run.time_left_ms);
        let is_limited = |it: Option<u64>| it.is_some_and(|it| it <= client::TIME_LEFT_MS);
        if runs.len() <= max as usize && granted.clone().all(is_limited) {
            return None;
        }
        let granted: Vec<_> = granted.collect();
        Some(format!(
            "{id} may run {max} times for {} ms, engines got it with {granted:?} ms left",
            client::TIME_LEFT_MS
        ))
    };
    attempts.filter_map(violation).collect()
}

/// Checks that the customer over its limit did not exceed the limit in any window.
fn limit_violation(deployment: &Deployment, observed: &Observations) -> Option<String> {
    let streams = observed.streams.borrow();
    let over_limit = streams
        .iter()
        .filter(|stream| stream.sender == Sender::OverLimit);
    // All attempts of a request count as one.
    let first = over_limit.filter_map(|stream| {
        let runs = runs(deployment, &stream.id);
        runs.iter().map(|it| it.run.at).min()
    });
    let mut at: Vec<Instant> = first.collect();
    at.sort();
    let within = |from: &Instant| {
        at.iter()
            .filter(|it| *it >= from && **it < *from + WINDOW)
            .count()
    };
    let max = at.iter().map(within).max().unwrap_or_default();
    (max > MAX_IN_WINDOW)
        .then(|| format!("a customer ran {max} requests in a window, limit {MAX_IN_WINDOW}"))
}

fn stream_violation(deployment: &Deployment, stream: &Stream) -> Option<String> {
    let id = &stream.id;
    let retries = stream.retries.iter();
    let runs: Vec<EngineRun> = std::iter::once(id)
        .chain(retries)
        .flat_map(|id| runs(deployment, id))
        .collect();
    if !stream.resumable && runs.len() > 1 {
        return Some(format!(
            "{id} may run only once, but ran {} times",
            runs.len()
        ));
    }
    let response = stream.response.as_ref()?;
    if let Some(mixed) = version_violation(deployment, id, &data(&response.body)) {
        return Some(mixed);
    }
    match response.status {
        503 | 429 if !stream.resumable && !runs.is_empty() => {
            Some(format!("{id} was answered as not run, but ran"))
        }
        200 if response.is_complete => text_violation(id, &data(&response.body), &runs),
        _ => None,
    }
}

/// Returns the data of the events in a body.
fn data(body: &str) -> Vec<&str> {
    let lines = body.lines();
    lines.filter_map(|it| it.strip_prefix("data: ")).collect()
}

/// Checks that all events of a text are from engines of one software version.
fn version_violation(deployment: &Deployment, id: &str, data: &[&str]) -> Option<String> {
    let engines = data.iter().filter_map(|line| line.split_once('.'));
    let versions: BTreeSet<String> = engines
        .map(|(engine, _)| deployment.store.version(engine))
        .collect();
    let is_mixed = versions.len() > 1;
    is_mixed.then(|| format!("{id} has events of {versions:?}: {data:?}"))
}

/// Checks that a text contains each event once, and that each engine resumed where it was requested to.
fn text_violation(id: &str, data: &[&str], runs: &[EngineRun]) -> Option<String> {
    if data.len() as u64 != EVENTS {
        return Some(format!("{id} has {} of {EVENTS} events", data.len()));
    }
    let mut engine = "";
    for (index, line) in data.iter().enumerate() {
        let after = index as u64;
        let (name, number) = line.split_once('.')?;
        if number.parse() != Ok(after + 1) {
            return Some(format!("{id} has event {number} after event {after}"));
        }
        let resumed = runs
            .iter()
            .any(|it| it.engine == name && it.run.after == after);
        if name != engine && !resumed {
            return Some(format!(
                "{id} continues at {name} after event {after} without a request for it"
            ));
        }
        engine = name;
    }
    None
}

fn result_violation(
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
        return Some(format!("{item} was abandoned, although it can complete"));
    }
    let data: Vec<&str> = result["message"].as_str()?.lines().collect();
    version_violation(deployment, item, &data)
        .or_else(|| text_violation(item, &data, &runs(deployment, item)))
}

fn cancel_violation(deployment: &Deployment, id: &str, job: &Job) -> Option<String> {
    let until = job.cancelled_at? + CANCEL_DELAY;
    let mut items = (0..job.items).flat_map(|index| runs(deployment, &format!("{id}-{index}")));
    let late = items.find(|it| it.run.at > until)?;
    Some(format!(
        "{} started long after {id} was cancelled",
        late.run.id
    ))
}

/// Reads a job at every host until it has all results or a cancel was requested.
pub async fn wait_until_complete(
    deployment: &Deployment,
    observed: &Observations,
    id: &str,
    job: &Job,
    until: Instant,
) -> Result<(), String> {
    for host in &deployment.hosts {
        loop {
            if let Some(results) = read_results(observed, host.callers, id).await {
                let items: BTreeSet<&str> =
                    results.iter().filter_map(|it| it["id"].as_str()).collect();
                if items.len() != results.len() {
                    return Err(format!("{id} lists an item twice"));
                }
                if items.len() == job.items || job.cancel_requested {
                    break;
                }
            }
            if Instant::now() > until {
                return Err(format!(
                    "{id} was accepted, but is not complete at {}",
                    host.callers
                ));
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Reads all results of a job at a host, page by page.
async fn read_results(
    observed: &Observations,
    host: std::net::SocketAddr,
    id: &str,
) -> Option<Vec<Value>> {
    let mut all = Vec::new();
    loop {
        let response = client::try_results(host, id, all.len()).await?;
        if response.status != 200 {
            return None;
        }
        let page: Value = serde_json::from_str(&response.body).ok()?;
        observed.record_page(id, all.len(), &page);
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
