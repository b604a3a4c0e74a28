//! Which batch processes control an engine.

use tinbank_base::{
    id,
    peer::{Member, Members},
};
use tinbank_membership::rendezvous::{self, Key};

/// The first and the second in rank over the batch processes that serve.
pub(crate) fn controllers(members: &Members, upstream: id::Upstream) -> [Option<&Member>; 2] {
    let ready = members.ready(id::Role::Batch);
    let mut ranked = rendezvous::rank(ready, Key::Upstream(upstream)).into_iter();
    [ranked.next(), ranked.next()]
}
