//! Tests in which regions a request may run.

use tinbank_relay::region::{Allowed, Names, Regions};
use yare::parameterized;

fn names(names: &[&str]) -> Option<Names> {
    let names: Names = names.iter().map(|it| (*it).to_owned()).collect();
    Some(names).filter(|it| !it.is_empty())
}

fn regions() -> Regions {
    let pairs = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    Regions::new(pairs.map(|(domain, region)| (domain.to_owned(), region.to_owned())))
}

#[parameterized(
    unrestricted = { &[], &[], &["a1", "b1", "c1", "unknown"] },
    by_route = { &["a"], &[], &["a1"] },
    by_customer = { &[], &["b", "c"], &["b1", "c1"] },
    by_both = { &["a", "b"], &["b", "c"], &["b1"] },
    by_both_without_overlap = { &["a"], &["c"], &[] },
)]
fn a_request_runs_only_where_its_route_and_its_customer_allow(
    route: &[&str],
    customer: &[&str],
    expected: &[&str],
) {
    let allowed = Allowed::new(names(route).as_ref(), names(customer).as_ref());

    let domains = ["a1", "b1", "c1", "unknown"];
    let permitted = domains.into_iter();
    let permitted: Vec<&str> = permitted
        .filter(|it| regions().permits(&allowed, it))
        .collect();

    assert_eq!(permitted, expected);
}

/// Guards against the body of a restricted request being forwarded to a third region.
#[parameterized(
    allowed = { "a1", "b1", true },
    same_region_as_the_caller = { "a1", "a2", true },
    third_region = { "a1", "c1", false },
    unknown_failure_domain = { "a1", "unknown", false },
    both_unknown = { "unknown", "other", false },
    own = { "unknown", "unknown", true },
)]
fn a_restricted_request_is_forwarded_to_allowed_regions_or_within_the_callers(
    own: &str,
    other: &str,
    expected: bool,
) {
    let allowed = Allowed::new(names(&["b"]).as_ref(), None);

    let permitted = regions().permits_host(&allowed, own, other);

    assert_eq!(permitted, expected);
}
