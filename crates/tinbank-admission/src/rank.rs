//! Selection of the batch processes that control an engine.

use tinbank_base::{
    id,
    peer::{Member, Members},
};
use tinbank_membership::rendezvous::{self, Key};

/// Returns the first and the second controller of an engine, by rendezvous hashing over the batch processes that are
/// ready.
pub(crate) fn controllers(members: &Members, upstream: id::Upstream) -> [Option<&Member>; 2] {
    let ready = members.ready(id::Role::Batch);
    let mut ranked = rendezvous::rank(ready, Key::Upstream(upstream)).into_iter();
    [ranked.next(), ranked.next()]
}
