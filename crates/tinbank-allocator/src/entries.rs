//! The upstreams of an allocator, indexed by name and by the hosts that hold leases.
//!
//! Every host reports its holdings once per second. Scanning all upstreams for each report would cost hosts times
//! upstreams per second; the indices keep the work per datagram proportional to its contents.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    ops::{Deref, DerefMut},
};

use tinbank_base::id;

use crate::{
    allocator::Upstream,
    entry::{Entry, UpstreamState},
    lease::{self, Held},
};

/// The upstreams, in the order of the list.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    entries: Vec<Entry>,
    by_instance: HashMap<id::Instance, usize>,
    /// For each host, the upstreams at which it holds leases. May include some at which its leases have ended.
    by_holder: HashMap<SocketAddr, BTreeSet<usize>>,
}

impl Deref for Entries {
    type Target = [Entry];

    fn deref(&self) -> &[Entry] {
        &self.entries
    }
}

impl DerefMut for Entries {
    fn deref_mut(&mut self) -> &mut [Entry] {
        &mut self.entries
    }
}

impl Entries {
    /// Replaces the list of upstreams, keeping the state of those that remain. An upstream at another address has restarted, so
    /// its pace is forgotten.
    pub fn replace(&mut self, upstreams: Vec<Upstream>) {
        let before = self.entries.drain(..);
        let before = before.map(|entry| (entry.upstream.instance.clone(), entry));
        let mut before: HashMap<_, _> = before.collect();
        let entries = upstreams.into_iter().map(|upstream| {
            let Some(Entry {
                upstream: previous,
                mut state,
            }) = before.remove(&upstream.instance)
            else {
                let state = UpstreamState::default();
                return Entry { upstream, state };
            };
            if previous.address != upstream.address {
                state.pace.forget();
            }
            Entry { upstream, state }
        });
        self.entries = entries.collect();
        self.rebuild_indices();
    }

    /// Removes an upstream. Returns whether it was present.
    pub fn remove(&mut self, upstream: &id::Instance) -> bool {
        let Some(index) = self.index_of(upstream) else {
            return false;
        };
        self.entries.remove(index);
        self.rebuild_indices();
        true
    }

    pub fn index_of(&self, upstream: &id::Instance) -> Option<usize> {
        self.by_instance.get(upstream).copied()
    }

    /// Records that a host holds a lease at the upstream with this index.
    pub fn add_holder(&mut self, index: usize, holder: SocketAddr) {
        self.by_holder.entry(holder).or_default().insert(index);
    }

    /// Returns the index of the upstream that an active lease is for.
    pub fn index_of_lease(&self, holder: SocketAddr, lease: lease::Id) -> Option<usize> {
        let mut indices = self.by_holder.get(&holder)?.iter().copied();
        indices.find(|index| self.entries[*index].state.grants.contains(holder, lease))
    }

    /// Removes those leases of a host that are missing from its list of holdings, see [`Grants::retain_held`].
    ///
    /// [`Grants::retain_held`]: crate::grants::Grants::retain_held
    pub fn retain_held(&mut self, holder: SocketAddr, next: lease::Id, held: &[Held]) {
        let Some(indices) = self.by_holder.get_mut(&holder) else {
            return;
        };
        indices.retain(|index| {
            let grants = &mut self.entries[*index].state.grants;
            grants.retain_held(holder, next, held);
            grants.has_holder(holder)
        });
        if indices.is_empty() {
            self.by_holder.remove(&holder);
        }
    }

    fn rebuild_indices(&mut self) {
        self.by_instance.clear();
        self.by_holder.clear();
        for (index, entry) in self.entries.iter().enumerate() {
            self.by_instance
                .insert(entry.upstream.instance.clone(), index);
            for holder in entry.state.grants.holders() {
                self.by_holder.entry(holder).or_default().insert(index);
            }
        }
    }
}
