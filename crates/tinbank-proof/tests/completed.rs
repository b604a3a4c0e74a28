//! An accepted item completes exactly once, and its result stays readable.

use tinbank_proof::{
    deployment::{Deployment, Shape},
    wait::eventually,
    work,
};

/// Checks a job of notes at every host that is left: each item stands once, with its own whole text.
async fn assert_complete(deployment: &Deployment, id: &str, job: &str, items: usize, tokens: u32) {
    for host in 0..deployment.batch.len() {
        if deployment.batch[host].is_none() {
            continue;
        }
        let caller = deployment.at_batch(host);
        caller.until(id, "completed").await;
        let results = caller.readable(id).await;
        assert_eq!(results.len(), items, "items of {job} at host {host}");
        for (name, ended) in &results {
            assert_eq!(ended.state, "answered", "{name}: {ended:?}");
            assert_eq!(ended.says, work::text(&work::note(name, tokens)), "{name}");
        }
    }
    let runs = deployment.engine_runs();
    let missing = (0..items).filter(|item| !runs.contains_key(&work::name(job, *item)));
    assert_eq!(missing.count(), 0, "items answered that no engine ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_lost_right_after_its_acknowledgement_loses_nothing() {
    let mut deployment = Deployment::start(Shape::default()).await;
    for (lost, job) in [(0, "north"), (1, "logan")] {
        let caller = deployment.at_batch(lost);
        let reply = caller
            .submit(work::NOTES, job, work::notes(job, 300, 4))
            .await;
        deployment.kill_batch(lost);

        let id = reply.unwrap().text("/id");
        assert_complete(&deployment, &id, job, 300, 4).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_lost_with_items_in_flight_loses_nothing() {
    let mut deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_batch(2);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 400, 20))
        .await;

    for lost in [0, 1] {
        let before = deployment.started();
        eventually("items are in flight", || async {
            deployment.started() > before && deployment.running() > 0
        })
        .await;
        deployment.kill_batch(lost);
    }

    assert_complete(&deployment, &id, "sweep", 400, 20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_log_neither_lose_nor_double_an_item() {
    let mut deployment = Deployment::start(Shape::default()).await;
    deployment
        .log()
        .faults
        .change(|fault| fault.lose_probability = 0.15);
    let caller = deployment.at_batch(1);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 300, 4))
        .await;
    eventually("items run", || async { deployment.started() > 0 }).await;
    deployment.kill_batch(0);

    assert_complete(&deployment, &id, "sweep", 300, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_in_the_middle_of_intake_and_run_loses_nothing() {
    let deployment = Deployment::start(Shape::default()).await;
    let running = deployment.at_batch(0);
    let id = running
        .accepted(work::NOTES, "before", &work::notes("before", 300, 20))
        .await;
    eventually("items are in flight", || async { deployment.running() > 0 }).await;
    let caller = deployment.at_batch(1);
    let log = deployment.log();

    let (reply, ()) = tokio::join!(
        caller.submit(work::NOTES, "during", work::notes("during", 3_000, 2)),
        async { log.faults.change(|fault| fault.outage = true) },
    );
    eventually("nothing is in flight without the log", || async {
        deployment.running() == 0
    })
    .await;
    if let Ok(reply) = reply
        && !reply.status.is_success()
    {
        assert!(
            ["no", "unknown"].contains(&&*reply.text("/ran")),
            "{reply:?}"
        );
    }
    log.faults.change(|fault| fault.outage = false);

    assert_complete(&deployment, &id, "before", 300, 20).await;
    let resent = deployment.at_batch(2);
    let id = resent
        .accepted(work::NOTES, "during", &work::notes("during", 3_000, 2))
        .await;
    assert_complete(&deployment, &id, "during", 3_000, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_through_another_host_makes_no_second_job() {
    let mut deployment = Deployment::start(Shape::default()).await;
    let body = work::notes("round", 200, 4);
    let (first, second) = (deployment.at_batch(0), deployment.at_batch(1));

    let (one, other) = tokio::join!(
        first.submit(work::NOTES, "round", body.clone()),
        second.submit(work::NOTES, "round", body.clone()),
    );
    deployment.kill_batch(0);
    let id = deployment
        .at_batch(2)
        .accepted(work::NOTES, "round", &body)
        .await;

    for reply in [one.unwrap(), other.unwrap()] {
        assert!(reply.status.is_success(), "{reply:?}");
        assert_eq!(reply.text("/id"), id);
    }
    assert_complete(&deployment, &id, "round", 200, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_die_with_items_in_flight_lose_nothing() {
    let deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_batch(0);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 300, 20))
        .await;

    for engine in deployment.standin.engines() {
        let busy = || async { engine.account.runs().iter().any(|run| run.tokens > 0) };
        eventually("the engine is at work", busy).await;
        engine.faults.change(|fault| fault.killed = true);
        let before = deployment.started();
        eventually("others go on", || async { deployment.started() > before }).await;
        engine.faults.change(|fault| fault.killed = false);
    }

    assert_complete(&deployment, &id, "sweep", 300, 20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_neither_loses_nor_doubles_an_item() {
    let deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_batch(2);
    let id = caller
        .accepted(work::NOTES, "sweep", &work::notes("sweep", 400, 20))
        .await;
    eventually("items are in flight", || async { deployment.running() > 0 }).await;

    let frozen = [deployment.batch(0).freeze(), deployment.batch(1).freeze()];
    caller.until(&id, "completed").await;
    let before = caller.readable(&id).await;
    drop(frozen);

    assert_complete(&deployment, &id, "sweep", 400, 20).await;
    let after = deployment.at_batch(0).readable(&id).await;
    assert_eq!(
        before, after,
        "a result changed when its first owner went on"
    );
}
