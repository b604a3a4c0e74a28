//! Why a batch item gets no slot, by which its host knows which other items to request slots for.

use serde::{Deserialize, Serialize};

/// What a batch item lacks that is denied in a failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// A slot: any item that needs the same upstreams is denied as well.
    #[default]
    Slot,
    /// Memory: upstreams have slots, which a smaller item may get.
    Memory,
    /// An upstream with the memory for it, even one that processes nothing else.
    Size,
    /// An upstream that it may be sent to.
    Upstream,
}

impl Cause {
    /// Returns the label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Slot => "slot",
            Self::Memory => "memory",
            Self::Size => "size",
            Self::Upstream => "upstream",
        }
    }

    /// Returns whether the item is denied for as long as the upstreams and their states are the same.
    pub fn is_lasting(self) -> bool {
        matches!(self, Self::Size | Self::Upstream)
    }
}

/// Returns what an item lacks by the denials of several failure domains; `None` stands for one that did not answer or was not asked.
///
/// An item that one failure domain denies for its size or memory may get a slot in another that denies it for a slot, but smaller
/// items may get one at once.
pub fn combine(causes: &[Option<Cause>]) -> Cause {
    let known = || causes.iter().copied().flatten();
    if causes.iter().all(|it| it.is_some_and(Cause::is_lasting)) {
        return match known().any(|it| it == Cause::Size) {
            true => Cause::Size,
            false => Cause::Upstream,
        };
    }
    match known().any(|it| matches!(it, Cause::Memory | Cause::Size)) {
        true => Cause::Memory,
        false => Cause::Slot,
    }
}
