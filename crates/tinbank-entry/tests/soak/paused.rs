//! Hosts that are stopped while their requests run.

use std::time::Duration;

use futures_util::future::join_all;
use rustix::process::Signal;
use tokio::time;

use crate::{
    deployment::{Deployment, ENGINES},
    standin::{client, run_local},
};

/// Interval of the events, so that streams are in progress when the host is stopped.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// When the host is stopped, after the start of the streams.
const STOP_AFTER: Duration = Duration::from_millis(200);
/// How long it is stopped: until the engines have sent all events.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Number of streams.
const STREAMS: usize = 6;

/// Guards against a second run of every stream of a host that was stopped, while their events wait in its connections.
#[test]
fn streams_of_a_host_that_was_stopped_run_once() {
    run_local(async {
        // No other test uses this seed, which also names the folder.
        let deployment = Deployment::start(5).await;
        let host = &deployment.hosts[0];
        for index in 0..ENGINES {
            let engine = &deployment.engine(index).engine;
            engine.event_interval.set(EVENT_INTERVAL);
        }

        let ids: Vec<_> = (0..STREAMS).map(|number| format!("p{number}")).collect();
        let streams = ids
            .iter()
            .map(|id| client::try_stream(host.callers, "/resumable/x", id));
        let stopping = async {
            time::sleep(STOP_AFTER).await;
            host.signal(Signal::STOP);
            time::sleep(PAUSE).await;
            host.signal(Signal::CONT);
        };
        let (answers, ()) = tokio::join!(join_all(streams), stopping);

        for (id, answer) in ids.iter().zip(answers) {
            let runs = deployment.instances().map(|it| it.engine.runs_of(id).len());
            let is_complete = answer.is_some_and(|it| it.is_complete);
            assert_eq!((runs.sum::<usize>(), is_complete), (1, true), "{id}");
        }
        deployment.remove_files();
    });
}
