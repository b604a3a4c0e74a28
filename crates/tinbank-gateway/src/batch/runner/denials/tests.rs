//! Tests of which items a denial covers.

use std::time::{Duration, Instant};

use smallvec::smallvec;
use tinbank_relay::region::Allowed;
use yare::parameterized;

use super::{Coverage, Denials, Needs};

fn needs(service: &str, memory: u32) -> Needs {
    Needs {
        service: service.to_owned(),
        build: None,
        exclude: smallvec![],
        allowed: Allowed::default(),
        memory,
    }
}

fn at_build(build: &str) -> Needs {
    Needs {
        build: Some(build.into()),
        ..needs("notes", 10)
    }
}

fn elsewhere_than(upstream: &str) -> Needs {
    Needs {
        exclude: smallvec![upstream.into()],
        ..needs("notes", 10)
    }
}

fn in_region(region: &str) -> Needs {
    Needs {
        allowed: Allowed::new(Some(&smallvec![region.to_owned()]), None),
        ..needs("notes", 10)
    }
}

/// Guards against items that wait behind one that needs more than they do.
#[parameterized(
    as_large = { needs("notes", 10), needs("notes", 10), true },
    larger = { needs("notes", 10), needs("notes", 11), true },
    smaller = { needs("notes", 10), needs("notes", 9), false },
    of_another_service = { needs("notes", 10), needs("drafts", 10), false },
    only_at_a_build = { needs("notes", 10), at_build("v1"), true },
    at_any_build = { at_build("v1"), needs("notes", 10), false },
    at_another_build = { at_build("v1"), at_build("v2"), false },
    without_an_upstream = { needs("notes", 10), elsewhere_than("e1"), true },
    at_any_upstream = { elsewhere_than("e1"), needs("notes", 10), false },
    in_fewer_regions = { needs("notes", 10), in_region("north"), true },
    in_more_regions = { in_region("north"), needs("notes", 10), false },
)]
fn a_denial_that_lasts_covers_items_that_need_at_least_as_much(
    denied: Needs,
    other: Needs,
    is_covered: bool,
) {
    let now = Instant::now();
    let until = now + Duration::from_millis(500);
    let mut denials = Denials::default();

    denials.record_lasting(denied, until, now);

    let expected = match is_covered {
        true => Coverage::Until(until),
        false => Coverage::None,
    };
    assert_eq!(denials.coverage(&other, now), expected);
    assert_eq!(denials.coverage(&other, until), Coverage::None);
}

/// Guards against items of a service that wait behind those of another one, whose slots are all in use.
#[test]
fn a_full_service_is_tried_again_in_the_next_round() {
    let now = Instant::now();
    let mut denials = Denials::default();

    denials.record_full(&needs("notes", 10));
    let smaller = denials.coverage(&needs("notes", 1), now);
    let of_another_service = denials.coverage(&needs("drafts", 10), now);
    denials.end_round();

    assert_eq!(
        (smaller, of_another_service),
        (Coverage::Full, Coverage::None)
    );
    assert_eq!(denials.coverage(&needs("notes", 1), now), Coverage::None);
}
