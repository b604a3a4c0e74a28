//! A cancelled job stops.

use std::collections::BTreeMap;

use http::StatusCode;
use tinbank_proof::{
    deployment::{Deployment, Shape},
    session::{Ended, Session},
    wait::{eventually, found},
    work,
};
use tinbank_standin::account::End;

/// Cancels until it is acknowledged that the job has stopped.
async fn cancel(caller: &Session, id: &str) {
    let cancel = || async {
        match caller.cancel(id).await {
            Ok(reply) if reply.status == StatusCode::OK => Ok(reply.text("/state")),
            other => Err(format!("{other:?}")),
        }
    };
    let state = found("the cancel is acknowledged", cancel).await;
    assert_eq!(state, "cancelled", "the answer to the cancel");
}

/// Runs of a job's items in all engines that neither ended nor were cancelled.
fn running(deployment: &Deployment, job: &str) -> usize {
    let engines = deployment.standin.engines().iter();
    let runs = engines.flat_map(|engine| engine.account.runs());
    runs.filter(|run| run.end == End::Running)
        .filter(|run| {
            run.reference
                .as_ref()
                .is_some_and(|name| name.starts_with(job))
        })
        .count()
}

fn answered(results: &BTreeMap<String, Ended>) -> BTreeMap<String, Ended> {
    let answered = results
        .iter()
        .filter(|(_, ended)| ended.state == "answered");
    answered
        .map(|(name, ended)| (name.clone(), ended.clone()))
        .collect()
}

/// Checks that a cancelled job has stopped: what was answered at the acknowledgement stays, the rest stays cancelled,
/// and engines are not at work on it.
async fn assert_stopped(
    deployment: &Deployment,
    id: &str,
    job: &str,
    items: usize,
    known: &BTreeMap<String, Ended>,
) {
    eventually("no engine is at work on the job", || async {
        running(deployment, job) == 0
    })
    .await;
    let started = deployment.started();
    for host in 0..deployment.batch.len() {
        if deployment.batch[host].is_none() {
            continue;
        }
        let caller = deployment.at_batch(host);
        caller.until(id, "cancelled").await;
        let results = caller.readable(id).await;
        assert_eq!(results.len(), items, "each item has an end at host {host}");
        let now = answered(&results);
        let late = now.iter().filter(|(name, _)| !known.contains_key(*name));
        assert_eq!(late.count(), 0, "completions counted after the cancel");
        assert!(&now == known, "an answer changed after the cancel");
        let rest = results
            .values()
            .filter(|ended| ended.state == "cancelled")
            .count();
        assert_eq!(rest, items - known.len());
    }
    // Another job runs through all hosts and engines meanwhile: time in which the cancelled one could have started.
    let caller = deployment.at_batch(deployment.batch.len() - 1);
    let other = caller
        .accepted(work::NOTES, "other", &work::notes("other", 60, 4))
        .await;
    caller.until(&other, "completed").await;
    let runs = deployment
        .standin
        .engines()
        .iter()
        .flat_map(|engine| engine.account.runs());
    let later = runs.filter(|run| {
        run.reference
            .as_ref()
            .is_some_and(|name| name.starts_with(job))
    });
    let others = deployment.started() - later.count();
    assert!(others >= 60);
    assert_eq!(
        deployment.started() - others,
        started,
        "an item of the cancelled job started"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_that_races_completions_stops_the_job() {
    let deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_batch(0);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 600, 12))
        .await;
    eventually("items complete", || async {
        deployment.engine_runs().len() > 50
    })
    .await;

    cancel(&deployment.at_batch(1), &id).await;
    let known = answered(&caller.readable(&id).await);

    assert!(known.len() < 600, "the job was over before the cancel");
    assert_stopped(&deployment, &id, "sweep", 600, &known).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_during_a_log_outage_is_refused_or_holds() {
    let deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_batch(0);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 600, 12))
        .await;
    eventually("items are in flight", || async { deployment.running() > 0 }).await;
    // Engines stand still, so that the job can't end before its cancel.
    deployment.pause_engines(true);
    let log = deployment.log();
    log.faults.change(|fault| fault.outage = true);

    let reply = caller.cancel(&id).await.unwrap();
    log.faults.change(|fault| fault.outage = false);

    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
    assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
    cancel(&deployment.at_batch(2), &id).await;
    deployment.pause_engines(false);
    let known = answered(&caller.readable(&id).await);
    assert_stopped(&deployment, &id, "sweep", 600, &known).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_whose_log_answers_are_lost_stops_the_job() {
    let deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_batch(0);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 600, 12))
        .await;
    eventually("items are in flight", || async { deployment.running() > 0 }).await;
    deployment
        .log()
        .faults
        .change(|fault| fault.lose_probability = 0.15);

    cancel(&deployment.at_batch(1), &id).await;
    let known = answered(&caller.readable(&id).await);

    assert_stopped(&deployment, &id, "sweep", 600, &known).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_of_a_job_whose_owner_was_just_lost_stops_it() {
    let mut deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_batch(2);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 600, 12))
        .await;
    eventually("items are in flight", || async { deployment.running() > 0 }).await;

    // Engines stand still, so that the job can't end before its cancel.
    deployment.pause_engines(true);
    deployment.kill_batch(0);
    deployment.kill_batch(1);
    cancel(&caller, &id).await;
    deployment.pause_engines(false);
    let known = answered(&caller.readable(&id).await);

    assert_stopped(&deployment, &id, "sweep", 600, &known).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_while_an_owner_is_frozen_holds_when_it_goes_on() {
    let deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_batch(2);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 600, 12))
        .await;
    eventually("items are in flight", || async { deployment.running() > 0 }).await;

    // Engines stand still, so that the job can't end before its cancel.
    deployment.pause_engines(true);
    let frozen = [deployment.batch(0).freeze(), deployment.batch(1).freeze()];
    cancel(&caller, &id).await;
    let known = answered(&caller.readable(&id).await);
    deployment.pause_engines(false);
    drop(frozen);

    assert_stopped(&deployment, &id, "sweep", 600, &known).await;
}
