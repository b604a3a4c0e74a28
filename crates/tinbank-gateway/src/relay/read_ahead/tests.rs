//! Tests reading ahead for callers that do not poll their responses.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::{runtime, task};

use super::{Hangup, ReadAhead};
use crate::border::Body;

const MAX_BYTES: usize = 64 << 10;
const FRAME_BYTES: usize = 512;

fn run_local(test: impl Future<Output = ()>) {
    let runtime = runtime::Builder::new_current_thread().build().unwrap();
    task::LocalSet::new().block_on(&runtime, test);
}

/// A response of `frames` parts, each of which has arrived.
fn response(frames: usize) -> Body {
    let frames = (0..frames).map(|number| Ok(Frame::data(vec![number as u8; FRAME_BYTES].into())));
    Box::pin(StreamBody::new(futures_util::stream::iter(frames)))
}

/// Starts `count` responses whose callers do not read, and reads ahead for them.
async fn read_ahead(registry: &Rc<ReadAhead>, count: usize, frames: usize) -> Vec<Body> {
    let wrap = |_| registry.wrap(response(frames), Hangup::default());
    let responses: Vec<Body> = (0..count).map(wrap).collect();
    // The first round only notes that the callers have not polled since.
    registry.run_round(Instant::now());
    registry.run_round(Instant::now());
    // The runtime polls some tens of tasks for each yield.
    for _ in 0..count {
        task::yield_now().await;
    }
    responses
}

/// Guards against a host that runs out of memory between two rounds, when many callers stop reading at once.
#[test]
fn the_bound_of_the_host_holds_between_rounds() {
    run_local(async {
        let registry = Rc::new(ReadAhead::new(MAX_BYTES));

        let responses = read_ahead(&registry, 1_000, 100).await;

        let kept = registry.budget.borrow().total();
        assert!(kept <= MAX_BYTES, "{kept}");
        assert!(kept > MAX_BYTES / 2, "{kept}");
        drop(responses);
        assert_eq!(registry.budget.borrow().total(), 0);
    });
}

/// Guards against parts that are lost or swapped where what was kept ends and the rest is read directly.
#[test]
fn a_caller_that_reads_again_gets_every_part_in_order() {
    run_local(async {
        let registry = Rc::new(ReadAhead::new(MAX_BYTES));
        let responses = read_ahead(&registry, 1, 100).await;

        let read = responses.into_iter().next().unwrap().collect().await;

        let expected: Vec<u8> = (0..100).flat_map(|it| vec![it; FRAME_BYTES]).collect();
        assert_eq!(read.unwrap().to_bytes(), Bytes::from(expected));
    });
}

/// Guards against a complete response that is cut because its last part reaches the bound, although no upstream waits.
#[test]
fn a_response_that_ends_at_its_bound_is_not_cut() {
    run_local(async {
        let registry = Rc::new(ReadAhead::new(MAX_BYTES));
        let frames = MAX_BYTES / 64 / FRAME_BYTES;
        let responses = read_ahead(&registry, 1, frames).await;

        registry.run_round(Instant::now() + Duration::from_secs(2));
        let read = responses.into_iter().next().unwrap().collect().await;

        let read = read.map(|it| it.to_bytes().len()).ok();
        assert_eq!(read, Some(frames * FRAME_BYTES));
    });
}
