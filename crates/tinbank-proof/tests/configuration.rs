//! An accepted configuration is in force everywhere and never reverts.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::StatusCode;
use serde_json::json;
use tinbank_base::id;
use tinbank_configuration::fold::Verdict;
use tinbank_proof::{
    deployment::{Deployment, Shape},
    operator::Operator,
    session::Session,
    wait::eventually,
};
use tokio::task::JoinHandle;

/// Whether a process takes a key of the customer.
async fn takes(session: &Session) -> Option<bool> {
    let reply = session.chat(&[], &json!({})).await.ok()?;
    Some(reply.status != StatusCode::UNAUTHORIZED)
}

/// Looks at one process all the time: no key comes back after a later one was taken, and the offset in force rises.
struct Watch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<usize>,
}

impl Watch {
    fn start(deployment: &Deployment, host: usize, keys: &[String]) -> Self {
        let sessions: Vec<Session> = keys
            .iter()
            .map(|key| deployment.at_online_as(host, key))
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let (mut newest, mut offset, mut looks) = (0, 0, 0);
            while !stopped.load(Ordering::Relaxed) {
                for (place, session) in sessions.iter().enumerate() {
                    let Some(taken) = takes(session).await else {
                        continue;
                    };
                    assert!(
                        !taken || place >= newest,
                        "key {place} came back after key {newest} at host {host}"
                    );
                    if taken {
                        newest = place;
                    }
                }
                let Ok(reply) = sessions[0].get("/configuration").await else {
                    continue;
                };
                let now = reply.json()["offset"].as_u64().unwrap();
                assert!(
                    now >= offset,
                    "offset {now} in force after {offset} at host {host}"
                );
                offset = now;
                looks += 1;
            }
            looks
        });
        Self { stop, task }
    }

    async fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        let looks = self.task.await.unwrap();
        assert!(looks > 0, "it never looked");
    }
}

fn watch_all(deployment: &Deployment, keys: &[String]) -> Vec<Watch> {
    (0..deployment.online.len())
        .map(|host| Watch::start(deployment, host, keys))
        .collect()
}

async fn in_force(deployment: &Deployment, key: &str) {
    for host in 0..deployment.online.len() {
        let session = deployment.at_online_as(host, key);
        eventually(&format!("{key} is in force at host {host}"), || async {
            takes(&session).await == Some(true)
        })
        .await;
    }
}

fn revision(verdict: &Verdict) -> Option<id::Revision> {
    match verdict {
        Verdict::Accepted { revision } => Some(*revision),
        _ => None,
    }
}

fn keys(first: &str, others: &[&str]) -> Vec<String> {
    let others = others.iter().map(|key| (*key).to_owned());
    std::iter::once(first.to_owned()).chain(others).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_have_one_winner_on_all_hosts() {
    let deployment = Deployment::start(Shape::default()).await;
    deployment
        .log()
        .faults
        .change(|fault| fault.lose_probability = 0.2);
    let mut operators =
        [1, 2].map(|number| Operator::new(deployment.log_address(), number, deployment.example()));
    let mut base = deployment.customer_revision();
    for round in 0..5 {
        let names = [0, 1].map(|operator| format!("key-{round}-{operator}"));
        let [first, second] = &mut operators;

        let (one, other) = tokio::join!(
            first.change_key(base, &names[0]),
            second.change_key(base, &names[1]),
        );

        let verdicts = [one.unwrap(), other.unwrap()];
        let accepted: Vec<_> = verdicts.iter().map(revision).collect();
        let winner = accepted
            .iter()
            .position(Option::is_some)
            .expect("one is accepted");
        assert!(
            accepted[1 - winner].is_none(),
            "both were accepted: {verdicts:?}"
        );
        base = accepted[winner].unwrap();
        in_force(&deployment, &names[winner]).await;
        for host in 0..3 {
            let loser = deployment.at_online_as(host, &names[1 - winner]);
            assert_eq!(
                takes(&loser).await,
                Some(false),
                "the loser's key is in force at host {host}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_reverts_over_outages_freezes_and_new_hosts() {
    let mut deployment = Deployment::start(Shape::default()).await;
    let keys = keys(
        &deployment.example().deployment.key,
        &["key-1", "key-2", "key-3", "key-4"],
    );
    let mut watches = watch_all(&deployment, &keys);
    let mut operator = Operator::new(deployment.log_address(), 1, deployment.example());
    let faults = deployment.log().faults.clone();

    // A host is frozen while a change comes into force elsewhere.
    let frozen = deployment.online(0).freeze();
    let base = deployment.customer_revision();
    let base =
        revision(&operator.change_key(base, "key-1").await.unwrap()).expect("it is accepted");
    for host in [1, 2] {
        let session = deployment.at_online_as(host, "key-1");
        eventually("the others have it", || async {
            takes(&session).await == Some(true)
        })
        .await;
    }
    drop(frozen);
    in_force(&deployment, "key-1").await;

    // The log goes out while a change is on its way.
    faults.change(|fault| fault.lose_next = 2);
    let base =
        revision(&operator.change_key(base, "key-2").await.unwrap()).expect("it is accepted");
    faults.change(|fault| fault.outage = true);
    let one_has_it = || async {
        let mut any = false;
        for host in 0..3 {
            any |= takes(&deployment.at_online_as(host, "key-2")).await == Some(true);
        }
        any
    };
    let any = one_has_it().await;
    if any {
        // What one host has, its peers have from it, the log being out.
        in_force(&deployment, "key-2").await;
    }

    // A host starts while the log is out: it takes the newest state of its peers.
    deployment.add_host().await;
    deployment.ready().await;
    watches.push(Watch::start(&deployment, 3, &keys));
    if any {
        let session = deployment.at_online_as(3, "key-2");
        assert_eq!(
            takes(&session).await,
            Some(true),
            "a new host began with an old state"
        );
    }
    faults.change(|fault| fault.outage = false);
    in_force(&deployment, "key-2").await;

    // A slow log, and another change.
    faults.change(|fault| fault.slow = std::time::Duration::from_millis(300));
    let base =
        revision(&operator.change_key(base, "key-3").await.unwrap()).expect("it is accepted");
    in_force(&deployment, "key-3").await;
    faults.change(|fault| fault.slow = std::time::Duration::ZERO);

    // Hosts are lost and replaced.
    deployment.kill_online(1);
    let watch = watches.remove(1);
    deployment.add_host().await;
    deployment.ready().await;
    watches.push(Watch::start(&deployment, 4, &keys));
    watch.end().await;
    revision(&operator.change_key(base, "key-4").await.unwrap()).expect("it is accepted");
    for host in [0, 2, 3, 4] {
        let session = deployment.at_online_as(host, "key-4");
        eventually("the last change is in force", || async {
            takes(&session).await == Some(true)
        })
        .await;
    }
    for watch in watches {
        watch.end().await;
    }
}
