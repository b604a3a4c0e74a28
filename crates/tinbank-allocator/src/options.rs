//! Selects the decisions of an allocator.

use crate::{
    order::{ByExpiry, FairShare, Order},
    placement::{Affinity, Cost, FirstEvent, LeastLoaded, Placement},
};

/// How far the cost of the expected first event may be above the lowest where parts of the prompt are kept, in microseconds. It is
/// half of the 300 ms within which a first event is due. The cost includes some 40 ms for each request of an upstream, so that
/// upstreams of usual speed are preferred up to the bound of their load, and one at a fifth of it is not preferred even when idle.
const MAX_AFFINITY_DELAY: Cost = 150_000;

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
        match self.fair_shares {
            true => Box::new(FairShare::default()),
            false => Box::new(ByExpiry),
        }
    }

    /// Returns the choice of upstreams.
    pub fn placement(self) -> Box<dyn Placement> {
        let placement: Box<dyn Placement> = match self.strategy {
            Strategy::LeastLoaded => Box::new(LeastLoaded),
            Strategy::ExpectedFirstEvent => Box::new(FirstEvent),
        };
        if !self.prefix_affinity {
            return placement;
        }
        // The cost of the least loaded upstream is no time; the bound of its load is enough.
        let max_excess = match self.strategy {
            Strategy::LeastLoaded => None,
            Strategy::ExpectedFirstEvent => Some(MAX_AFFINITY_DELAY),
        };
        Box::new(Affinity::new(placement, max_excess))
    }

    /// Returns whether hosts measure the paces of upstreams and report them.
    pub fn measures_pace(self) -> bool {
        self.strategy == Strategy::ExpectedFirstEvent
    }
}
