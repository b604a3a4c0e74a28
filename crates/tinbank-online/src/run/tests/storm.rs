//! Retries do not multiply the load when all engines fail.

use tinbank_base::{outcome::Ran, platform::upstream::Kind};
use tinbank_routing::retry::{RATIO_MILLIS, RESERVE_MILLIS};

use super::fixture::{Fixture, Script, read_to_end, request};

#[tokio::test(start_paused = true)]
async fn retries_stay_within_the_budget_when_every_engine_fails() {
    const REQUESTS: u64 = 500;
    let fixture = Fixture::new(6, 0);
    let kind = Kind::Cut("scripted".to_owned());
    fixture
        .upstreams
        .script_all(Script::Fail(kind, Ran::Unknown));

    for _ in 0..REQUESTS {
        read_to_end(&mut fixture.chat(request(true))).await;
    }

    let calls = fixture.upstreams.calls().len() as u64;
    let allowed = REQUESTS + (RESERVE_MILLIS + RATIO_MILLIS * REQUESTS) / 1_000;
    assert!(calls <= allowed, "{calls} calls, {allowed} allowed");
    assert!(calls > REQUESTS, "some requests are retried");
}
