//! One attempt at an item, against fake engines that record requests and cancels.

#[path = "support/engines.rs"]
#[expect(dead_code, reason = "the other tests use the rest")]
mod engines;

use std::{
    sync::Arc,
    time::{Instant, SystemTime},
};

use engines::{Engines, FirstUntried};
use smallvec::SmallVec;
use tinbank_admission::Pass;
use tinbank_base::id;
use tinbank_batch::runner::{
    attempt::{self, AttemptContext, AttemptEnd, Placement},
    task::{Flow, Key, PartialAnswer, RunMode, Task},
};
use tinbank_configuration::{service::Service, template::Traffic};
use tinbank_routing::choice::{RouteRequest, Router};
use tinbank_timeline::Recorder;
use tokio::sync::{mpsc, watch};

fn context(engines: &Engines) -> AttemptContext {
    let (reports, _) = mpsc::unbounded_channel();
    let process = id::Process {
        host: 1,
        role: id::Role::Batch,
    };
    AttemptContext {
        upstreams: Arc::new(engines.clone()),
        reports,
        recorder: Recorder::new(process, 16),
    }
}

fn service() -> Service {
    serde_json::from_value(serde_json::json!({"kind": "engine", "pool": "notes"})).unwrap()
}

fn task(run_mode: watch::Receiver<RunMode>) -> Task {
    let body = serde_json::json!({"messages": [{"content": "note 1"}]});
    Task {
        key: Key {
            shard: 0,
            epoch: 1,
            job: 1,
            chunk: 0,
            item: 0,
        },
        flow: Flow {
            customer: "moreton".into(),
            service: "notes".into(),
        },
        weight: 1,
        concurrency_limit: None,
        service: Arc::new(service()),
        due: SystemTime::UNIX_EPOCH,
        body: body.to_string().into(),
        prefix: 0,
        repeatable: true,
        attempts: 0,
        failures: 0,
        losses: 0,
        retries: 0,
        request: None,
        partial_answer: PartialAnswer::default(),
        run_mode,
    }
}

fn placement(engines: &Engines, withdrawn: watch::Receiver<bool>) -> Placement {
    let ask = RouteRequest {
        service: &service(),
        traffic: Traffic::Batch,
        prefix: 0,
        tried: SmallVec::new(),
    };
    let choice = FirstUntried(engines.clone()).choose(&ask, Instant::now());
    let choice = choice.unwrap();
    let pass = Pass {
        upstream: choice.target.upstream,
        withdrawn,
        guard: Box::new(()),
    };
    Placement { choice, pass }
}

/// Returns the number of requests started and of requests cancelled at the engines.
fn started_and_cancelled(engines: &Engines) -> (usize, usize) {
    let cancelled = engines.read(|call_log| call_log.cancelled.len());
    (engines.starts(), cancelled)
}

/// Guards against sending a cancel for a request that the engine never received.
#[yare::parameterized(
    stopped = { RunMode::Abort, false },
    withdrawn = { RunMode::Run, true },
)]
#[test_macro(tokio::test)]
async fn a_request_that_was_never_sent_is_not_cancelled_at_the_engine(
    run_mode: RunMode,
    withdraw: bool,
) {
    let engines = Engines::new(1);
    let (_stop, stopped) = watch::channel(run_mode);
    let (_withdraw, withdrawn) = watch::channel(withdraw);
    let mut task = task(stopped);

    let end = attempt::run(
        &context(&engines),
        &mut task,
        placement(&engines, withdrawn),
    )
    .await;

    assert!(
        matches!(end, AttemptEnd::Stopped | AttemptEnd::Withdrawn),
        "{end:?}"
    );
    assert_eq!(started_and_cancelled(&engines), (0, 0));
}

#[tokio::test]
async fn a_sent_request_is_cancelled_at_the_engine_once() {
    let engines = Engines::new(1);
    engines.hold();
    let (run_mode, stopped) = watch::channel(RunMode::Run);
    let (_withdraw, withdrawn) = watch::channel(false);
    let mut task = task(stopped);
    let context = context(&engines);

    let run = attempt::run(&context, &mut task, placement(&engines, withdrawn));
    let cancel = async {
        while engines.starts() == 0 {
            tokio::task::yield_now().await;
        }
        run_mode.send_replace(RunMode::Abort);
    };
    let (end, ()) = tokio::join!(run, cancel);

    assert!(matches!(end, AttemptEnd::Stopped), "{end:?}");
    assert_eq!(started_and_cancelled(&engines), (1, 1));
}
