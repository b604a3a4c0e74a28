//! Keeps in the store which builds have served, so that hosts know it after all of them were killed.

use std::{
    cell::{Ref, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use tinbank_base::id;
use tinbank_origin::{
    History, Origin,
    history::{Change, Entry},
};
use tokio::time;

use super::barrier::Barrier;
use crate::{
    border::store::{List, ListEntry},
    node::Node,
};

/// Interval at which an allocator compares the entries of its failure domain with the list of upstreams.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same for a host that is no allocator. Each wake-up costs processor time on every host.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The builds that have served, as the store keeps them.
#[derive(Default)]
pub(crate) struct Builds {
    history: RefCell<History>,
    /// Reads of the list for callers.
    pub barrier: Barrier,
    /// Builds of each failure domain at which no stream may begin yet.
    withheld: RefCell<BTreeMap<id::FailureDomain, BTreeSet<Origin>>>,
}

impl Builds {
    /// Returns what is known of the builds.
    pub fn history(&self) -> Ref<'_, History> {
        self.history.borrow()
    }

    /// Replaces what is known by all entries of the store.
    pub fn replace(&self, entries: Vec<Entry>) {
        self.history.borrow_mut().replace(entries);
    }

    /// Applies entries that were read from the store. Returns whether there were any.
    pub fn apply_entries(&self, entries: Vec<ListEntry>, is_whole: bool) -> bool {
        let has_entries = is_whole || !entries.is_empty();
        let mut history = self.history.borrow_mut();
        if is_whole {
            history.replace([]);
        }
        for written in entries {
            match written {
                ListEntry::Build(entry) => history.apply(Change::Put(entry)),
                ListEntry::BuildRemoved(place) => history.apply(Change::Remove(place)),
                _ => {}
            }
        }
        has_entries
    }

    /// Returns whether upstreams of an origin are listed in any failure domain.
    pub fn is_listed(&self, origin: &Origin) -> bool {
        self.history.borrow().is_listed(origin)
    }

    /// Returns whether no stream may begin at an origin yet: the store does not name it, and upstreams of its service that the store
    /// names serve as well. After a loss of all hosts, streams of an unnamed build would be taken for those of a named one.
    fn withholds(&self, origin: &Origin) -> bool {
        let history = self.history.borrow();
        !history.is_listed(origin) && history.lists_others(&[&origin.service], origin)
    }

    /// Records at which builds of a failure domain no stream may begin yet.
    pub fn set_withheld(&self, failure_domain: &str, builds: BTreeSet<Origin>) {
        let mut withheld = self.withheld.borrow_mut();
        let before = withheld.insert(failure_domain.to_owned(), builds.clone());
        if before.unwrap_or_default() != builds {
            log::info!(failure_domain, builds:?; "upstreams of builds that the store does not name yet get no requests");
        }
    }

    /// Returns whether upstreams of some services are listed, other than those of an origin.
    pub fn lists_others(&self, services: &[&str], origin: &Origin) -> bool {
        self.history.borrow().lists_others(services, origin)
    }
}

/// Returns whether upstreams of a build may serve, as far as this host knows.
pub(crate) fn may_serve(node: &Node, origin: &Origin) -> bool {
    let is_known = node.view.position(List::Builds).is_some();
    !is_known
        || node.origins.builds.is_listed(origin)
        || node.view.builds(&[&origin.service]).contains(origin)
}

/// Returns whether streams may begin at a build, as far as this host knows, see `docs/design/mixed-builds.md`. While it does not know
/// which builds the store names, they begin only at the one that serves, by a list of all upstreams.
pub(crate) fn may_begin(node: &Node, origin: &Origin) -> bool {
    match node.view.position(List::Builds) {
        Some(_) => !node.origins.builds.withholds(origin),
        None => {
            let view = &node.view;
            let lists_all = view.position(List::Upstreams).is_some() && !view.is_own_domain_only();
            let listed = view.builds(&[&origin.service]);
            lists_all && listed.iter().all(|it| it == origin)
        }
    }
}

/// Writes which builds of the own failure domain, and of those that this host acts for, appear and disappear, for as long as the
/// process runs. Only allocators do so.
pub(crate) async fn write_to_store(node: Rc<Node>) {
    loop {
        let is_allocator = node.sharing.is_allocator(Instant::now());
        if is_allocator {
            let own = node.settings.failure_domain.clone();
            let substituted = node.sharing.acting_for();
            for domain in std::iter::once(own).chain(substituted) {
                for change in pending_writes(&node, &domain).unwrap_or_default() {
                    write(&node, change).await;
                }
            }
        }
        time::sleep(match is_allocator {
            true => CHECK_INTERVAL,
            false => ROLE_CHECK_INTERVAL,
        })
        .await;
    }
}

/// Returns what the store lacks of a failure domain, if both lists were read.
fn pending_writes(node: &Node, domain: &str) -> Option<Vec<Change>> {
    let view = &node.view;
    view.position(List::Upstreams)?;
    view.position(List::Builds)?;
    let listed = view.builds_in(domain);
    let history = node.origins.builds.history();
    Some(history.changes(domain, &listed, SystemTime::now()))
}

async fn write(node: &Node, change: Change) {
    let until = Instant::now() + WRITE_TIMEOUT;
    match node.store.record_build(&change, until).await {
        Ok(()) => {
            log::info!(change:?; "builds that have served written to the store");
            node.origins.builds.history.borrow_mut().apply(change);
            node.update_allocator();
        }
        Err(error) => {
            log::info!(change:?, error:%; "builds that have served not written to the store yet");
            node.retry.backoff().await;
        }
    }
}
