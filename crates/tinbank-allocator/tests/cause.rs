//! What an item lacks by the denials of several failure domains.

use tinbank_allocator::cause::{Cause, combine};
use yare::parameterized;

/// Guards against an item that holds up others although it lacks more than they do, and against one that lets others pass although
/// they would be denied as well.
#[parameterized(
    no_failure_domain = { &[], Cause::Upstream },
    no_upstream_anywhere = { &[Some(Cause::Upstream), Some(Cause::Upstream)], Cause::Upstream },
    too_large_where_there_are_upstreams = { &[Some(Cause::Upstream), Some(Cause::Size)], Cause::Size },
    no_upstream_here_and_none_free_elsewhere = { &[Some(Cause::Upstream), Some(Cause::Slot)], Cause::Slot },
    no_upstream_here_and_no_answer_elsewhere = { &[Some(Cause::Upstream), None], Cause::Slot },
    too_large_here_and_no_answer_elsewhere = { &[Some(Cause::Size), None], Cause::Memory },
    memory_in_use_here_and_none_free_elsewhere = { &[Some(Cause::Memory), Some(Cause::Slot)], Cause::Memory },
    none_free = { &[Some(Cause::Slot), None], Cause::Slot },
)]
fn denials_are_combined(causes: &[Option<Cause>], expected: Cause) {
    assert_eq!(combine(causes), expected);
}
