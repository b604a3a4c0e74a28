//! Selects the decisions of an allocator.

use crate::{
    order::{ByExpiry, Order},
    placement::{FirstEvent, LeastLoaded, Placement},
};

/// How an allocator chooses upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// The upstream that processes the fewest requests.
    #[default]
    LeastLoaded,
    /// The upstream at which the first event is expected soonest.
    ExpectedFirstEvent,
}

/// Options of an allocator. The default serves all customers alike and counts slots only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Whether waiting requests are served by fair shares of their customers.
    pub fair_shares: bool,
    /// How upstreams are chosen.
    pub strategy: Strategy,
    /// Whether requests prefer upstreams that keep parts of their prompts.
    pub prefix_affinity: bool,
    /// Whether the allocator reports its free slots to hosts and other allocators.
    pub share_room: bool,
}

impl Options {
    pub(crate) fn order(self) -> Box<dyn Order> {
        Box::new(ByExpiry)
    }

    pub(crate) fn placement(self) -> Box<dyn Placement> {
        match self.strategy {
            Strategy::LeastLoaded => Box::new(LeastLoaded),
            Strategy::ExpectedFirstEvent => Box::new(FirstEvent),
        }
    }

    /// Returns whether hosts measure the paces of upstreams and report them.
    pub fn measures_pace(self) -> bool {
        self.strategy == Strategy::ExpectedFirstEvent
    }
}
