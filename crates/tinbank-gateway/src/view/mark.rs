//! How far the lists of the store are known, by positions that all hosts share.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use tinbank_base::id;
use tinbank_feed::History;

use crate::border::store::{List, Offset};

/// How far this process knows the lists, whoever told it.
#[derive(Debug, Default)]
pub(crate) struct Lists {
    config: Mark,
    upstreams: Mark,
    hosts: Mark,
    quarantine: Mark,
    leads: Mark,
    /// How far the orders to evacuate are known. They lie beside the configuration, which followers know by its version.
    pub evacuations: Mark,
    /// What changed in the list of upstreams, for hosts that follow this one.
    pub changed_upstreams: RefCell<History<id::Instance>>,
    /// What changed in the list of hosts.
    pub changed_hosts: RefCell<History<SocketAddr>>,
}

/// How far a list is known.
#[derive(Debug, Default)]
pub(crate) struct Mark {
    /// Position behind the last record taken in.
    position: Cell<Option<Offset>>,
    /// Position at which what the list says changed last.
    changed: Cell<Offset>,
    /// Position at which what is believed of the list changed without a record.
    settled: Cell<Option<Offset>>,
}

impl Lists {
    /// How far a list is known.
    pub fn of(&self, list: List) -> &Mark {
        match list {
            List::Config => &self.config,
            List::Upstreams => &self.upstreams,
            List::Hosts => &self.hosts,
            List::Quarantine => &self.quarantine,
            List::FirstDelegates => &self.leads,
        }
    }
}

impl Mark {
    /// Position behind the last record taken in.
    pub fn position(&self) -> Option<Offset> {
        self.position.get()
    }

    /// The store has dropped the records behind the position; the list has to be read whole.
    pub fn forget(&self) {
        self.position.set(None);
    }

    /// What is believed of the list has changed at a position without a record.
    pub fn settle(&self, position: Offset) {
        self.settled.set(Some(position));
    }

    /// Position at which what is believed of the list changed last without a record.
    pub fn settled(&self) -> Option<Offset> {
        self.settled.get()
    }

    /// True if a host that knows the list up to a position lacks a change.
    pub fn has_news_for(&self, known: Option<Offset>) -> bool {
        match known {
            None => self.position.get().is_some(),
            Some(known) => known < self.changed.get(),
        }
    }

    /// The list was read up to a position, and says something else than before or not.
    pub fn advance(&self, position: Offset, changed: bool) {
        self.position.set(Some(position));
        if changed {
            self.changed.set(position);
        }
    }
}
