//! Tests of which jobs an overloaded host starts items.

use yare::parameterized;

use super::Shedding;

/// Guards against items that are run by nobody while their host is overloaded, and against a host that takes on more than one
/// item meanwhile.
#[parameterized(
    not_overloaded = { false, true, false, Shedding::None },
    restricted_jobs_go_on = { true, false, false, Shedding::UnrestrictedJobs },
    one_item_at_a_time = { true, true, false, Shedding::All },
    lasting = { true, false, true, Shedding::None },
    lasting_with_an_item = { true, true, true, Shedding::All },
)]
fn an_overloaded_host_starts_only_items_that_no_other_host_runs(
    is_overloaded: bool,
    has_running: bool,
    is_lasting: bool,
    expected: Shedding,
) {
    let shedding = Shedding::new(is_overloaded, has_running, is_lasting);

    assert_eq!(shedding, expected);
}
