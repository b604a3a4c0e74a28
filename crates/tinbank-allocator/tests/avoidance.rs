//! How long a host avoids upstreams.

use std::time::{Duration, Instant};

use tinbank_allocator::{avoidance::Avoidance, lease::Outcome, leaving::Evidence};
use yare::parameterized;

#[parameterized(
    failed = { &[Outcome::Failed], 1_400, true },
    failed_long_ago = { &[Outcome::Failed], 1_600, false },
    unresponsive = { &[Outcome::Unresponsive], 1_400, true },
    refused = { &[Outcome::Refused], 300, true },
    refused_long_ago = { &[Outcome::Refused], 500, false },
    served_since = { &[Outcome::Failed, Outcome::Served], 0, false },
    inconclusive_since = { &[Outcome::Failed, Outcome::Inconclusive], 0, true },
    leaving = { &[Outcome::Leaving(Evidence::Reply)], 0, false },
)]
fn an_upstream_is_avoided_after_failures(outcomes: &[Outcome], after_ms: u64, expected: bool) {
    let now = Instant::now();
    let upstream = "u1".into();
    let mut avoidance = Avoidance::default();
    for outcome in outcomes {
        avoidance.record_outcome(&upstream, *outcome, now);
    }

    let avoided = avoidance.upstreams(now + Duration::from_millis(after_ms));

    assert_eq!(avoided.contains(&upstream), expected);
}
