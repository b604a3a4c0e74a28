//! The active leases at one upstream.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    lease::{self, Class, Due, Footprint},
    prefix::Expectation,
    size::Tokens,
};

/// An active lease.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub holder: SocketAddr,
    pub lease: lease::Id,
    pub class: Class,
    pub expires_at: Instant,
    /// When this allocator granted an online lease, to measure how long it holds its slot.
    pub granted_at: Option<Instant>,
    pub footprint: Footprint,
    /// What the upstream was expected to do with the prompt, if this allocator granted the lease.
    pub expectation: Expectation,
    /// Tokens of the prompt that the upstream had to read, if this allocator granted the lease.
    pub unread_tokens: Option<Tokens>,
}

impl Grant {
    pub fn customer(&self) -> Option<&str> {
        self.footprint.customer.as_deref()
    }

    fn due(&self) -> Option<Due> {
        match self.class {
            Class::Online => None,
            Class::Batch(due) => Some(due),
        }
    }
}

/// All leases at one upstream.
#[derive(Debug, Default)]
pub(crate) struct Grants(Vec<Grant>);

impl Grants {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the number of leases that were not granted within the last `age`.
    pub fn count_older_than(&self, age: Duration, now: Instant) -> usize {
        let grants = self.0.iter();
        let older = grants.filter(|it| it.granted_at.is_none_or(|at| now >= at + age));
        older.count()
    }

    /// Returns the memory that is reserved for the requests, in tokens.
    pub fn memory(&self) -> Tokens {
        let footprints = self.0.iter().map(|it| it.footprint.memory);
        footprints.fold(0, Tokens::saturating_add)
    }

    /// Returns whether a lease is active here.
    pub fn contains(&self, holder: SocketAddr, lease: lease::Id) -> bool {
        let same = |grant: &Grant| grant.holder == holder && grant.lease == lease;
        self.0.iter().any(same)
    }

    /// Returns a lease, if it is active here.
    pub fn get(&self, holder: SocketAddr, lease: lease::Id) -> Option<&Grant> {
        let mut grants = self.0.iter();
        grants.find(|it| it.holder == holder && it.lease == lease)
    }

    /// Returns whether a host has a lease here.
    pub fn has_holder(&self, holder: SocketAddr) -> bool {
        self.0.iter().any(|grant| grant.holder == holder)
    }

    /// Returns the holder of each lease; a host with several leases appears several times.
    pub fn holders(&self) -> impl Iterator<Item = SocketAddr> {
        self.0.iter().map(|grant| grant.holder)
    }

    /// Adds or renews a lease. Renewing keeps the original `granted_at`, `expectation` and `unread_tokens`.
    pub fn add(&mut self, grant: Grant) {
        let known = self.remove(grant.holder, grant.lease);
        let granted_at = known.as_ref().and_then(|known| known.granted_at);
        let unread_tokens = known.as_ref().and_then(|known| known.unread_tokens);
        self.0.push(Grant {
            granted_at: granted_at.or(grant.granted_at),
            unread_tokens: unread_tokens.or(grant.unread_tokens),
            expectation: known.map_or(grant.expectation, |known| known.expectation),
            ..grant
        });
    }

    pub fn remove(&mut self, holder: SocketAddr, lease: lease::Id) -> Option<Grant> {
        let same = |grant: &Grant| grant.holder == holder && grant.lease == lease;
        let index = self.0.iter().position(same)?;
        Some(self.0.swap_remove(index))
    }

    /// Removes a lease and keeps the order of the others, which decides between items that are due at the same time.
    pub fn reclaim(&mut self, holder: SocketAddr, lease: lease::Id) -> Option<Grant> {
        let same = |grant: &Grant| grant.holder == holder && grant.lease == lease;
        let index = self.0.iter().position(same)?;
        Some(self.0.remove(index))
    }

    /// Returns the leases of batch items, with their due times.
    pub fn batch(&self) -> impl Iterator<Item = (&Grant, Due)> + Clone {
        let grants = self.0.iter();
        grants.filter_map(|grant| Some((grant, grant.due()?)))
    }

    /// Returns the number of batch leases.
    pub fn batch_count(&self) -> usize {
        self.0.iter().filter(|it| it.class.is_batch()).count()
    }

    /// Removes expired leases. Returns when the next one expires.
    pub fn remove_expired(&mut self, now: Instant) -> Option<Instant> {
        self.0.retain(|grant| now < grant.expires_at);
        self.0.iter().map(|grant| grant.expires_at).min()
    }

    /// Removes those leases of a host that are missing from its list of holdings. Leases from `next` on are kept, since
    /// they were requested after the list was made.
    pub fn retain_held(&mut self, holder: SocketAddr, next: lease::Id, held: &[lease::Held]) {
        self.0.retain(|grant| {
            grant.holder != holder
                || grant.lease >= next
                || held.iter().any(|held| held.lease == grant.lease)
        });
    }
}
