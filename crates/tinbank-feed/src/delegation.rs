//! Whether a host is a delegate of its failure domain.
//!
//! The directory selects delegates by the list of hosts and by which of them respond, and both fluctuate: a lost answer makes a
//! host unresponsive for two seconds. A new delegate reads everything that the store holds, so the role follows the selection
//! with a delay.

use std::time::{Duration, Instant};

/// How long a changed selection has to last before the role follows. Longer than the 2 s for which a host is skipped as
/// unresponsive after its first missing answers.
pub const DELAY: Duration = Duration::from_secs(3);

/// The delegate role of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delegation {
    is_delegate: bool,
    /// When the role changes, if the selection stays as it is.
    changes_at: Option<Instant>,
    has_list: bool,
}

impl Delegation {
    /// Returns whether the host is a delegate.
    pub fn is_delegate(&self) -> bool {
        self.is_delegate
    }

    /// Sets the role from the first list of hosts, without the delay: in a fleet that starts, there is nobody to follow
    /// otherwise.
    pub fn initialize(&mut self, is_selected: bool) {
        self.has_list = true;
        self.is_delegate = is_selected;
    }

    /// Records whether the host is selected as a delegate now. Returns whether its role changed.
    pub fn update(&mut self, is_selected: bool, now: Instant) -> bool {
        if !self.has_list {
            return false;
        }
        if is_selected == self.is_delegate {
            self.changes_at = None;
            return false;
        }
        let changes_at = *self.changes_at.get_or_insert(now + DELAY);
        if now < changes_at {
            return false;
        }
        self.is_delegate = is_selected;
        self.changes_at = None;
        true
    }
}
