//! A leaving upstream receives no new work once one host has its sign, though the host list lags.

use std::time::Duration;

use futures::future::join_all;
use tinbank_proof::{
    deployment::{Deployment, Shape},
    session::Session,
    wait::eventually,
    work,
};

/// Whether a process says that an upstream is leaving.
async fn knows(session: &Session) -> bool {
    let events = session.get("/timeline").await;
    events.is_ok_and(|events| String::from_utf8_lossy(&events.body).contains("upstream_leaving"))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_says_so_to_one_host_gets_nothing_from_any() {
    let deployment = Deployment::start(Shape {
        lag: Duration::from_secs(600),
        ..Shape::default()
    })
    .await;
    let leaving = &deployment.standin.engines()[0];
    let caller = deployment.at_batch(0);
    let busy = caller
        .accepted(work::NOTES, "before", &work::notes("before", 200, 20))
        .await;
    eventually("the engine is at work", || async {
        !leaving.account.runs().is_empty()
    })
    .await;

    leaving.faults.change(|fault| fault.leaving = true);
    let processes: Vec<Session> = (0..deployment.online.len())
        .flat_map(|host| [deployment.at_online(host), deployment.at_batch(host)])
        .collect();
    eventually("one process has the sign", || async {
        join_all(processes.iter().map(knows)).await.contains(&true)
    })
    .await;
    // It would take work again, but nobody may send it any: the list does not show it as live again. Those who have not
    // met the sign themselves have it from their peers.
    leaving.faults.change(|fault| fault.leaving = false);
    eventually("every process has the sign", || async {
        !join_all(processes.iter().map(knows)).await.contains(&false)
    })
    .await;
    let before = leaving.account.runs().len();
    let id = caller
        .accepted(work::NOTES, "after", &work::notes("after", 100, 4))
        .await;
    for number in 0..30 {
        let online = deployment.at_online(number % 3);
        let body = work::note(&format!("call-{number}"), 4);
        // A host that has just begun to hear of a customer may refuse it as over its limit; then nothing was sent.
        let answered = || async {
            let reply = online.chat(&[], &body).await.unwrap();
            let limited = reply.text("/code") == "limit_reached" && reply.text("/ran") == "no";
            assert!(limited || reply.status.is_success(), "{reply:?}");
            !limited
        };
        eventually("the call is within the limit", answered).await;
    }
    caller.until(&id, "completed").await;
    caller.until(&busy, "completed").await;

    assert_eq!(
        leaving.account.runs().len(),
        before,
        "new work after the sign"
    );
}
