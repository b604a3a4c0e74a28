//! Each caller receives the whole answer to its own request, or an explicit error.

use std::time::Duration;

use futures::future::join_all;
use tinbank_proof::{
    deployment::{Deployment, Shape},
    rogue::{Mode, Rogue},
    session::{Broken, Reply},
    wait::{eventually, found},
    work,
};
use tinbank_standin::account::End;

/// Answers of a burst of callers at all hosts, each with a prompt of its own.
struct Burst {
    whole: usize,
    failed: usize,
}

fn name(burst: &str, number: usize) -> String {
    format!("{burst}-{number}")
}

/// Sends requests from many callers at once, and checks each answer.
async fn burst(deployment: &Deployment, burst: &str, callers: usize, tokens: u32) -> Burst {
    let calls = (0..callers).map(|number| {
        let host = number % deployment.online.len();
        let caller = deployment.at_online(host);
        let body = work::note(&name(burst, number), tokens);
        async move {
            // A host that has just begun to hear of a customer may refuse it as over its limit; then nothing was sent.
            let within_limit = || async {
                let reply = caller.chat(&[], &body).await;
                let limited = |reply: &Reply| {
                    reply.text("/code") == "limit_reached" && reply.text("/ran") == "no"
                };
                match &reply {
                    Ok(refused) if limited(refused) => Err(format!("{refused:?}")),
                    _ => Ok(reply),
                }
            };
            let reply = found("the call is within the limit", within_limit).await;
            is_whole(reply, &work::text(&body))
        }
    });
    let answers = join_all(calls).await;
    let whole = answers.iter().filter(|whole| **whole).count();
    Burst {
        whole,
        failed: callers - whole,
    }
}

/// Whether a caller has its whole answer; everything else has to be an explicit error.
fn is_whole(reply: Result<Reply, Broken>, expected: &str) -> bool {
    let reply = reply.expect("the host answers");
    if reply.status.is_success() {
        assert_eq!(reply.text("/choices/0/message/content"), expected);
        return true;
    }
    assert!(!reply.text("/code").is_empty(), "{reply:?}");
    assert!(!reply.text("/ran").is_empty(), "{reply:?}");
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_killed_in_mid_stream_leave_no_part_that_looks_whole() {
    let deployment = Deployment::start(Shape {
        step: Duration::from_millis(5),
        ..Shape::default()
    })
    .await;
    for engine in deployment.standin.engines() {
        let before = engine.account.runs().len();
        let in_stream = || async {
            let runs = engine.account.runs();
            let running = runs
                .iter()
                .skip(before)
                .filter(|run| run.end == End::Running);
            running.filter(|run| run.tokens > 2).count() > 0
        };
        let kill = async {
            eventually("the engine is in mid-stream", in_stream).await;
            engine.faults.change(|fault| fault.killed = true);
        };

        let (ends, ()) = tokio::join!(burst(&deployment, &engine.name, 36, 100), kill);

        assert!(ends.whole > 0, "none of {} had an answer", ends.failed);
        engine.faults.change(|fault| fault.killed = false);
        let back = || async {
            let known = engine.account.runs().len();
            burst(&deployment, &format!("{} back", engine.name), 12, 4).await;
            engine.account.runs().len() > known
        };
        eventually("the engine is used again", back).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_without_their_end_are_not_passed_on_as_whole() {
    let deployment = Deployment::start(Shape::default()).await;
    for engine in deployment.standin.engines() {
        engine.faults.change(|fault| fault.lose_probability = 0.3);
    }

    let ends = burst(&deployment, "lost", 60, 12).await;

    assert!(ends.whole > 0, "none of {} had an answer", ends.failed);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_break_off_end_in_an_explicit_error() {
    let deployment = Deployment::start(Shape {
        engines: 1,
        ..Shape::default()
    })
    .await;
    let engine = &deployment.standin.engines()[0];
    let caller = tinbank_demo::caller::Caller::new(&deployment.example().deployment.key);
    let address = deployment.online(0).server.http_address();
    let mut body = work::note("cut", 100);
    body["stream"] = true.into();
    let body = body.as_object().unwrap().clone();

    let kill = async {
        let in_stream = || async { engine.account.runs().iter().any(|run| run.tokens > 5) };
        eventually("the engine is in mid-stream", in_stream).await;
        engine.faults.change(|fault| fault.killed = true);
    };
    let (answer, ()) = tokio::join!(caller.chat(address, "condition-assistant", &body), kill);

    assert!(answer.is_err(), "half an answer looked whole: {answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_doubled_and_late_parts_reach_no_caller() {
    for mode in [
        Mode::OtherId,
        Mode::Doubled,
        Mode::Skipped,
        Mode::NoEnd,
        Mode::AfterEnd,
    ] {
        let deployment = Deployment::start(Shape {
            engines: 1,
            hosts: 1,
            ..Shape::default()
        })
        .await;
        let rogue = Rogue::start(mode, deployment.example()).await;
        deployment.enlist(rogue.upstream());
        let sent = || async {
            burst(&deployment, "rogue", 4, 8).await;
            rogue.answered() > 0
        };
        eventually("the rogue engine is asked", sent).await;
        let job = deployment.at_batch(0);
        let id = job
            .accepted(work::NOTES, "sweep", &work::notes("sweep", 40, 8))
            .await;

        job.until(&id, "completed").await;
        let results = job.readable(&id).await;
        let online = burst(&deployment, "beside", 24, 8).await;

        assert!(online.whole > 0, "{mode:?}");
        assert_eq!(results.len(), 40, "{mode:?}");
        for (name, ended) in results {
            assert_eq!(
                ended.says,
                work::text(&work::note(&name, 8)),
                "{mode:?} {name} {ended:?}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_is_refused_is_told_so_at_once() {
    let deployment = Deployment::start(Shape::default()).await;
    for engine in deployment.standin.engines() {
        engine.faults.change(|fault| fault.outage = true);
    }

    let refused = burst(&deployment, "refused", 12, 8).await;

    assert_eq!(refused.failed, 12);
    assert_eq!(deployment.started(), 0);
    for engine in deployment.standin.engines() {
        engine.faults.change(|fault| fault.outage = false);
    }
    let again = || async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        burst(&deployment, "again", 4, 8).await.whole == 4
    };
    eventually("the engines are used again", again).await;
}
