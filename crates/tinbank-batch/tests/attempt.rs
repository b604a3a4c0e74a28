//! One attempt at an item, against engines that keep an account.

#[path = "support/engines.rs"]
#[expect(dead_code, reason = "the other tests use the rest")]
mod engines;

use std::{
    sync::Arc,
    time::{Instant, SystemTime},
};

use engines::{Engines, Routes};
use smallvec::SmallVec;
use tinbank_admission::Pass;
use tinbank_base::id;
use tinbank_batch::runner::{
    attempt::{self, Edge, End, Spot},
    task::{Flow, Kept, Key, Stop, Task},
};
use tinbank_configuration::{service::Service, template::Traffic};
use tinbank_routing::choice::{RouteRequest, Router};
use tinbank_timeline::Recorder;
use tokio::sync::{mpsc, watch};

fn edge(engines: &Engines) -> Edge {
    let (reports, _) = mpsc::unbounded_channel();
    let process = id::Process {
        host: 1,
        role: id::Role::Batch,
    };
    Edge {
        upstreams: Arc::new(engines.clone()),
        reports,
        recorder: Recorder::new(process, 16),
    }
}

fn service() -> Service {
    serde_json::from_value(serde_json::json!({"kind": "engine", "pool": "notes"})).unwrap()
}

fn task(stop: watch::Receiver<Stop>) -> Task {
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
        at_once: None,
        service: Arc::new(service()),
        due: SystemTime::UNIX_EPOCH,
        body: body.to_string().into(),
        prefix: 0,
        repeatable: true,
        attempts: 0,
        failures: 0,
        losses: 0,
        tries: 0,
        request: None,
        kept: Kept::default(),
        stop,
    }
}

fn spot(engines: &Engines, withdrawn: watch::Receiver<bool>) -> Spot {
    let ask = RouteRequest {
        service: &service(),
        traffic: Traffic::Batch,
        prefix: 0,
        tried: SmallVec::new(),
    };
    let choice = Routes(engines.clone()).choose(&ask, Instant::now());
    let choice = choice.unwrap();
    let pass = Pass {
        upstream: choice.target.upstream,
        withdrawn,
        guard: Box::new(()),
    };
    Spot { choice, pass }
}

/// How many requests were started at the engines, and how many were cancelled there.
fn account(engines: &Engines) -> (usize, usize) {
    let cancelled = engines.read(|account| account.cancelled.len());
    (engines.starts(), cancelled)
}

/// Seen beside load: the job was cancelled between the choice of an engine and the send, and the engine was told to
/// cancel a request that it had never got.
#[yare::parameterized(
    stopped = { Stop::Now, false },
    withdrawn = { Stop::Go, true },
)]
#[test_macro(tokio::test)]
async fn what_was_never_sent_is_not_cancelled_at_the_engine(stop: Stop, withdraw: bool) {
    let engines = Engines::new(1);
    let (_stop, stopped) = watch::channel(stop);
    let (_withdraw, withdrawn) = watch::channel(withdraw);
    let mut task = task(stopped);

    let end = attempt::run(&edge(&engines), &mut task, spot(&engines, withdrawn)).await;

    assert!(matches!(end, End::Stopped | End::Withdrawn), "{end:?}");
    assert_eq!(account(&engines), (0, 0));
}

#[tokio::test]
async fn what_was_sent_is_cancelled_at_the_engine_once() {
    let engines = Engines::new(1);
    engines.hold();
    let (stop, stopped) = watch::channel(Stop::Go);
    let (_withdraw, withdrawn) = watch::channel(false);
    let mut task = task(stopped);
    let edge = edge(&engines);

    let run = attempt::run(&edge, &mut task, spot(&engines, withdrawn));
    let cancel = async {
        while engines.starts() == 0 {
            tokio::task::yield_now().await;
        }
        stop.send_replace(Stop::Now);
    };
    let (end, ()) = tokio::join!(run, cancel);

    assert!(matches!(end, End::Stopped), "{end:?}");
    assert_eq!(account(&engines), (1, 1));
}
