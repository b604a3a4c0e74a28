//! How far the lists of the store were read, as positions that are the same at all hosts.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use tinbank_feed::History;

use crate::border::store::{List, Offset};

/// How far this process knows the lists, from the store or from a delegate.
#[derive(Debug, Default)]
pub(crate) struct Lists {
    config: Watermark,
    /// Watermark of the hosts.
    pub hosts: Watermark,
    /// Watermark of the quarantined requests.
    pub quarantine: Watermark,
    /// Watermark of the builds.
    pub builds: Watermark,
    first_delegates: Watermark,
    /// Watermark of the evacuations. They are stored with the configuration, which followers know by its version.
    pub evacuations: Watermark,
    /// Changes to the hosts, for hosts that follow this one.
    pub changed_hosts: RefCell<History<SocketAddr>>,
}

/// How far a list was read, and when it changed.
#[derive(Debug, Default)]
pub(crate) struct Watermark {
    /// Position after the last record that was applied.
    position: Cell<Option<Offset>>,
    /// Position of the last change of the list.
    changed: Cell<Offset>,
}

impl Lists {
    /// Returns the watermark of a list, except of the upstreams, whose position is that of their replica.
    pub fn of(&self, list: List) -> Option<&Watermark> {
        match list {
            List::Config => Some(&self.config),
            List::Upstreams => None,
            List::Hosts => Some(&self.hosts),
            List::Quarantine => Some(&self.quarantine),
            List::Builds => Some(&self.builds),
            List::FirstDelegates => Some(&self.first_delegates),
        }
    }
}

impl Watermark {
    /// Returns the position after the last record that was applied.
    pub fn position(&self) -> Option<Offset> {
        self.position.get()
    }

    /// Forgets the position, so that the whole list is read again.
    pub fn reset(&self) {
        self.position.set(None);
    }

    /// Returns whether the list changed after a position.
    pub fn has_changes_since(&self, known: Option<Offset>) -> bool {
        match known {
            None => self.position.get().is_some(),
            Some(known) => known < self.changed.get(),
        }
    }

    /// Records that the list was read up to a position, and whether it changed.
    pub fn advance(&self, position: Offset, changed: bool) {
        self.position.set(Some(position));
        if changed {
            self.changed.set(position);
        }
    }
}
