//! A request marked as not to be repeated runs at most once, and "not run" truly did not run.

use std::collections::{BTreeMap, BTreeSet};

use http::StatusCode;
use tinbank_proof::{
    deployment::{Deployment, Shape},
    session::{Broken, Ended, Reply, Session},
    wait::eventually,
    work,
};

/// Checks by the plain services' own account that no order ran twice, and returns it.
fn assert_at_most_once(deployment: &Deployment) -> BTreeMap<String, usize> {
    let runs = deployment.plain_runs();
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    runs
}

/// Checks a job of orders that has ended, at every host that is left.
async fn assert_orders(deployment: &Deployment, id: &str, items: usize) {
    let mut first: Option<BTreeMap<String, Ended>> = None;
    for host in 0..deployment.batch.len() {
        if deployment.batch[host].is_none() {
            continue;
        }
        let caller = deployment.at_batch(host);
        caller.until(id, "completed").await;
        let results = caller.readable(id).await;
        assert_eq!(results.len(), items, "each order has an end at host {host}");
        match &first {
            Some(first) => assert!(*first == results, "hosts tell different ends"),
            None => first = Some(results),
        }
    }
    let runs = assert_at_most_once(deployment);
    for (name, ended) in first.unwrap_or_default() {
        match (&*ended.state, &*ended.ran) {
            ("answered", _) => assert!(
                runs.contains_key(&name),
                "{name} was answered and did not run"
            ),
            ("failed", "no") => {
                assert!(!runs.contains_key(&name), "{name} was told not to have run")
            }
            ("failed", _) => assert_eq!(ended.says, "outcome_unknown", "{name}: {ended:?}"),
            _ => panic!("{name}: {ended:?}"),
        }
    }
}

fn slow_calls() -> Shape {
    Shape {
        call: std::time::Duration::from_millis(40),
        ..Shape::default()
    }
}

async fn orders_under_way(deployment: &Deployment) {
    eventually("orders are under way", || async {
        deployment.plain_runs().len() > 10
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_of_lost_hosts_are_not_sent_again() {
    let mut deployment = Deployment::start(slow_calls()).await;
    let caller = deployment.at_batch(2);
    let id = caller
        .accepted(work::ORDERS, "round", &work::orders("round", 300))
        .await;
    for lost in [0, 1] {
        let before = deployment.plain_runs().len();
        eventually("orders go on", || async {
            deployment.plain_runs().len() > before + 10
        })
        .await;
        deployment.kill_batch(lost);
    }

    assert_orders(&deployment, &id, 300).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_whose_answers_are_lost_are_not_sent_again() {
    let deployment = Deployment::start(Shape::default()).await;
    for plain in deployment.standin.plain() {
        plain.faults.change(|fault| fault.lose_probability = 0.2);
    }
    deployment
        .log()
        .faults
        .change(|fault| fault.lose_probability = 0.1);
    let caller = deployment.at_batch(0);
    let id = caller
        .accepted(work::ORDERS, "round", &work::orders("round", 200))
        .await;

    assert_orders(&deployment, &id, 200).await;
    let results = caller.readable(&id).await;
    let unknown = results
        .values()
        .filter(|ended| ended.says == "outcome_unknown");
    assert!(unknown.count() > 0, "no answer was lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_that_goes_on_sends_nothing_again() {
    let deployment = Deployment::start(slow_calls()).await;
    let caller = deployment.at_batch(2);
    let id = caller
        .accepted(work::ORDERS, "round", &work::orders("round", 400))
        .await;
    orders_under_way(&deployment).await;

    let frozen = [deployment.batch(0).freeze(), deployment.batch(1).freeze()];
    caller.until(&id, "completed").await;
    drop(frozen);

    assert_orders(&deployment, &id, 400).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn each_host_frozen_in_turn_sends_nothing_again() {
    let deployment = Deployment::start(slow_calls()).await;
    let caller = deployment.at_batch(2);
    let id = caller
        .accepted(work::ORDERS, "round", &work::orders("round", 600))
        .await;
    for host in [0, 1, 2, 0] {
        orders_under_way(&deployment).await;
        let frozen = deployment.batch(host).freeze();
        let before = deployment.plain_runs().len();
        let other = deployment.at_batch((host + 1) % 3);
        // Others go on with what it held, or the job is over.
        eventually("others go on", || async {
            let done = other
                .job(&id)
                .await
                .is_ok_and(|job| job.text("/state") == "completed");
            done || deployment.plain_runs().len() > before + 40
        })
        .await;
        drop(frozen);
    }

    assert_orders(&deployment, &id, 600).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_over_a_log_outage_run_at_most_once() {
    let mut deployment = Deployment::start(slow_calls()).await;
    let caller = deployment.at_batch(2);
    let id = caller
        .accepted(work::ORDERS, "round", &work::orders("round", 300))
        .await;
    orders_under_way(&deployment).await;
    let faults = deployment.log().faults.clone();
    faults.change(|fault| fault.outage = true);
    let settled = || {
        let runs = deployment
            .standin
            .plain()
            .iter()
            .flat_map(|plain| plain.account.runs());
        runs.filter(|run| run.end == tinbank_standin::account::End::Running)
            .count()
            == 0
    };
    eventually("what was sent has ended", || async { settled() }).await;

    deployment.kill_batch(0);
    faults.change(|fault| fault.outage = false);

    assert_orders(&deployment, &id, 300).await;
}

/// What a caller knows of an order after all its resends.
#[derive(Debug)]
enum Known {
    Done,
    NotRun,
    Unknown,
}

fn known(reply: &Reply) -> Known {
    match (reply.status.is_success(), &*reply.text("/ran")) {
        (true, _) => Known::Done,
        (false, "no") => Known::NotRun,
        (false, _) => Known::Unknown,
    }
}

const ONCE: (&str, &str) = ("tinbank-repeatable", "false");

async fn order(caller: &Session, name: &str) -> Result<Reply, Broken> {
    let headers = [ONCE, ("idempotency-key", name)];
    caller
        .call(work::ORDERS, &headers, &work::order(name))
        .await
}

/// Sends an order through one host after the other, like an impatient client, until one answers for good.
async fn insist(callers: &[Session], name: &str) -> Known {
    for attempt in 0..60 {
        let caller = &callers[attempt % callers.len()];
        let reply =
            tokio::time::timeout(std::time::Duration::from_millis(300), order(caller, name));
        match reply.await {
            Ok(Ok(reply)) if reply.status.is_success() => return Known::Done,
            Ok(Ok(reply)) if reply.text("/code") == "outcome_unknown" => return Known::Unknown,
            _ => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
    Known::Unknown
}

#[tokio::test(flavor = "multi_thread")]
async fn claimed_requests_resent_through_other_hosts_run_once() {
    let mut deployment = Deployment::start(Shape {
        call: std::time::Duration::from_millis(400),
        ..Shape::default()
    })
    .await;
    let all: Vec<Session> = (0..3).map(|host| deployment.at_online(host)).collect();
    let names: Vec<String> = (0..24).map(|number| format!("crew-{number}")).collect();
    let callers: Vec<Vec<Session>> = (0..24)
        .map(|number| {
            (0..3)
                .map(|turn| all[(number + turn) % 3].clone())
                .collect()
        })
        .collect();
    let calls = names
        .iter()
        .zip(&callers)
        .map(|(name, callers)| insist(callers, name));
    let calls = futures::future::join_all(calls);
    let loss = async {
        eventually("orders run", || async {
            !deployment.plain_runs().is_empty()
        })
        .await;
        deployment.kill_online(0);
        deployment.kill_batch(1);
    };
    let (ends, ()) = tokio::join!(calls, loss);

    let runs = assert_at_most_once(&deployment);
    for (name, end) in names.iter().zip(ends) {
        if matches!(end, Known::Done) {
            assert!(
                runs.contains_key(name),
                "{name} was answered and did not run"
            );
        }
    }
    assert!(!runs.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_claimer_that_goes_on_runs_nothing_twice() {
    let deployment = Deployment::start(slow_calls()).await;
    let (first, second) = (deployment.at_online(0), deployment.at_online(1));
    for round in 0..6 {
        let name = format!("crew-{round}");
        let (caller, order_name) = (first.clone(), name.clone());
        let sent = tokio::spawn(async move { order(&caller, &order_name).await });
        // Each round the claimer is frozen a little further on the way: after so many records of the log.
        for _ in 0..round {
            tokio::task::yield_now().await;
        }
        let frozen = deployment.online(0).freeze();
        let resent = order(&second, &name).await.unwrap();
        drop(frozen);
        let sent = sent.await.unwrap();

        let runs = assert_at_most_once(&deployment);
        let ran = runs.contains_key(&name);
        for reply in [Ok(resent), sent].into_iter().flatten() {
            match known(&reply) {
                Known::Done => assert!(ran, "{name}: {reply:?}"),
                Known::NotRun | Known::Unknown => {}
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_was_refused_as_not_run_did_not_run() {
    let deployment = Deployment::start(Shape::default()).await;
    let caller = deployment.at_online(0);
    let mut refused = BTreeSet::new();
    let plain: Vec<_> = deployment
        .standin
        .plain()
        .iter()
        .map(|plain| plain.faults.clone())
        .collect();
    let log = deployment.log().faults.clone();
    let steps: [(&str, &dyn Fn(bool)); 5] = [
        ("log out", &|on| log.change(|fault| fault.outage = on)),
        ("services out", &|on| {
            plain
                .iter()
                .for_each(|plain| plain.change(|fault| fault.outage = on))
        }),
        ("services leaving", &|on| {
            plain
                .iter()
                .for_each(|plain| plain.change(|fault| fault.leaving = on))
        }),
        ("services dead", &|on| {
            plain
                .iter()
                .for_each(|plain| plain.change(|fault| fault.killed = on))
        }),
        ("answers lost", &|on| {
            let lost = if on { 0.5 } else { 0.0 };
            plain
                .iter()
                .for_each(|plain| plain.change(|fault| fault.lose_probability = lost));
        }),
    ];
    let mut sent = 0;
    for (step, switch) in steps {
        switch(true);
        for number in 0..10 {
            let name = format!("{step} {number}");
            let headers = [
                ONCE,
                ("idempotency-key", &*name),
                ("tinbank-timeout-ms", "1500"),
            ];
            // With a key in every second one.
            let headers = if number % 2 == 0 {
                &headers[..]
            } else {
                &[ONCE, headers[2]]
            };
            let reply = caller
                .call(work::ORDERS, headers, &work::order(&name))
                .await
                .unwrap();
            sent += 1;
            if matches!(known(&reply), Known::NotRun) {
                refused.insert(name);
            }
        }
        switch(false);
    }

    let runs = assert_at_most_once(&deployment);
    let ran: Vec<_> = refused
        .iter()
        .filter(|name| runs.contains_key(*name))
        .collect();
    assert!(ran.is_empty(), "told as not run, but ran: {ran:?}");
    assert!(!refused.is_empty() && refused.len() < sent);
    assert!(!runs.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_log_a_claimed_request_is_refused_as_not_run() {
    let deployment = Deployment::start(Shape::default()).await;
    deployment.log().faults.change(|fault| fault.outage = true);

    let reply = order(&deployment.at_online(0), "crew").await.unwrap();

    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
    assert_eq!(
        (&*reply.text("/ran"), &*reply.text("/code")),
        ("no", "log_unavailable")
    );
    assert!(deployment.plain_runs().is_empty());
}
