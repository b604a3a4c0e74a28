//! Which parts of prompts allocators are told.

use tinbank_allocator::size::Size;
use tinbank_relay::route::Route;

use crate::settings::Scheduling;

/// Removes the parts of a prompt unless its request is to be placed by them, which keeps slot requests small.
pub(crate) fn retain_parts(size: &mut Size, scheduling: Scheduling, route: &Route) {
    if !scheduling.prefix_affinity || !route.session_affinity {
        size.parts.clear();
    }
}
