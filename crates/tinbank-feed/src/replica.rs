//! A host's copy of the list of upstreams: read from the store or received from a delegate, and sent to followers.
//!
//! A host may change between all of these at any time, in particular in an outage of the store, in which entries of healthy
//! upstreams lapse. See `docs/hard-load.md`, part Q.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::leaving::Missing;
use tinbank_base::id;
use tinbank_relay::{
    contact::Period,
    listing::{self, Change, Changes, Listing, RENEWAL_TIME, Reading},
    upstream::Upstream,
};

use crate::{
    History,
    history::{self, Lookup},
    message::{self, Contact, Delta, Position, Reliability, Scope, Update, UpdateRequest},
    source::MAX_AGE,
};

/// The history is limited to the size of the list divided by this number. Followers that lack more changes get the whole list.
const HISTORY_DIVISOR: usize = 4;

/// A record of the store's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The entry of an upstream was written.
    Listed(Upstream),
    /// The entry under a name was removed or is unusable.
    Removed(id::Instance),
}

/// The list of upstreams, how far it is known, and its changes for hosts that follow this one.
#[derive(Debug, Default)]
pub struct Replica {
    listing: Listing,
    /// Position after the last record that was applied.
    position: Option<Position>,
    /// Position of the last change of the list.
    changed: Position,
    /// Position of the last change that no record describes, such as the removal of missing upstreams.
    settled: Option<Position>,
    history: History<id::Instance>,
    /// Position of the last list that had the entry of an upstream, for those that are missing.
    listed_at: HashMap<id::Instance, Position>,
    /// The delegate that sent the list up to the position; `None` if this host read it itself.
    source: Option<SocketAddr>,
}

impl Replica {
    /// Returns the upstreams.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Returns the missing upstreams, and which reports about them are newer than their entries.
    pub fn missing(&self) -> Vec<Missing> {
        let missing = self.listing.missing().map(|it| it.instance.clone());
        let missing = missing.filter_map(|upstream| {
            let listed_at = *self.listed_at.get(&upstream)?;
            Some(Missing {
                upstream,
                listed_at,
            })
        });
        missing.collect()
    }

    /// Returns the position after the last record that was applied.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Forgets the position, so that the whole list is read again.
    pub fn reset(&mut self) {
        self.position = None;
    }

    /// Records that an upstream itself reported that it is leaving or gone.
    pub fn mark_leaving(&mut self, instance: &id::Instance) {
        self.listing.mark_leaving(instance);
    }

    /// Records that the store answered a read of the list. Called before the result is applied.
    pub fn record_store_answer(&mut self, now: Instant) {
        self.listing.record_store_answer(now);
    }

    /// Records that a read of the list got no answer.
    pub fn record_store_failure(&mut self) {
        self.listing.record_store_failure();
    }

    /// Records that the process did not run for a while, which its clock need not count. The store may have been away meanwhile,
    /// although the reads before and after seem to follow each other without a gap.
    pub fn record_pause(&mut self) {
        self.listing.record_store_failure();
    }

    /// Applies a page of the whole list while a host reads on, so that it can use these upstreams already. The list of a large
    /// fleet has many pages.
    pub fn apply_page(
        &mut self,
        records: &[Record],
        scope: listing::Scope,
        at: Reading,
    ) -> Changes {
        if self.position.is_some() {
            return Changes::new();
        }
        self.listing.set_scope(scope);
        let listed = records.iter().filter_map(|record| match record {
            Record::Listed(upstream) => Some(upstream.clone()),
            Record::Removed(_) => None,
        });
        listed.flat_map(|it| self.listing.add(it, at)).collect()
    }

    /// Applies the whole list as read from the store. Returns what changed, or `None` if a delegate has sent a later one meanwhile.
    pub fn apply_whole(
        &mut self,
        records: Vec<Record>,
        scope: listing::Scope,
        at: Reading,
    ) -> Option<Changes> {
        if self.position.is_some_and(|known| at.position <= known) {
            return None;
        }
        // Before the list is applied: upstreams out of scope are dropped, while those absent from the list count as removed.
        self.listing.set_scope(scope);
        let listed = records.into_iter().filter_map(|record| match record {
            Record::Listed(upstream) => Some(upstream),
            Record::Removed(_) => None,
        });
        let changes = self.listing.replace(listed.collect(), at);
        self.history.reset(at.position);
        // At the next position, since followers may know this one from the source that this host had before.
        self.record_changes(&changes, at.position + 1);
        Some(self.finish_read(changes, at))
    }

    /// Applies records that were written to the store since the position `from`. Returns what changed, or `None` if the list is
    /// known up to another position meanwhile: the records don't continue it.
    pub fn apply_since(
        &mut self,
        from: Position,
        records: Vec<Record>,
        at: Reading,
    ) -> Option<Changes> {
        if self.position != Some(from) {
            return None;
        }
        let mut changes = Changes::new();
        for record in records {
            match record {
                Record::Listed(upstream) => changes.extend(self.listing.add(upstream, at)),
                Record::Removed(name) => changes.extend(self.listing.remove(&name, at)),
            }
        }
        self.record_changes(&changes, at.position);
        Some(self.finish_read(changes, at))
    }

    fn finish_read(&mut self, mut changes: Changes, at: Reading) -> Changes {
        self.source = None;
        changes.extend(self.settle(at));
        self.advance(at.position, !changes.is_empty());
        changes
    }

    /// Removes the missing upstreams if the list can be relied on. Returns what changed.
    fn settle(&mut self, at: Reading) -> Changes {
        let settled = self.listing.expire_missing(at);
        if !settled.is_empty() {
            self.settled = Some(at.position);
            // At the next position, since followers that know the list up to this one lack these changes as well.
            self.record_changes(&settled, at.position + 1);
        }
        settled
    }

    /// Adds what this host knows to a request that it sends to a delegate for an update of upstreams in `scope`.
    pub fn fill_request(&self, scope: &Scope, delegate: SocketAddr, request: &mut UpdateRequest) {
        // A delegate for which an upstream never changed sends no change of it, while this host may have it as gone.
        request.is_other_source = self.source != Some(delegate);
        // Upstreams known for another scope do not count.
        let is_whole = *self.listing.scope() == listing::Scope::All;
        let is_same_scope = is_whole == (*scope == Scope::Whole);
        request.upstreams = self.position.filter(|_| is_same_scope);
        request.settled = self.settled;
    }

    /// Returns whether this host tracks all upstreams in the requested scope.
    fn covers(&self, scope: &Scope) -> bool {
        match (self.listing.scope(), scope) {
            (listing::Scope::All, _) => true,
            (listing::Scope::Domain(own), Scope::Domain(domain)) => own == domain,
            (listing::Scope::Domain(_), Scope::Whole | Scope::Hosts | Scope::Contact) => false,
        }
    }

    /// Returns whether upstreams in the requested scope changed.
    pub fn has_changes(&self, request: &UpdateRequest) -> bool {
        if self.settled > request.settled {
            return true;
        }
        let has_changes = match request.upstreams {
            None => self.position.is_some(),
            Some(known) if request.is_other_source => self.position >= Some(known),
            Some(known) => known < self.changed,
        };
        if !has_changes {
            return false;
        }
        let delta = self.delta(request);
        delta.is_some_and(|it| it.is_whole || !it.entries.is_empty() || !it.gone.is_empty())
    }

    /// Fills in what the sender of a request lacks of the upstreams. `age` is how long ago they were read.
    pub fn fill_update(
        &self,
        request: &UpdateRequest,
        age: Option<Duration>,
        update: &mut Update,
        now: Instant,
    ) {
        if !self.covers(&request.scope) {
            return;
        }
        update.age.upstreams = age;
        update.settled = self.settled;
        update.upstreams = self.delta(request);
        let scoped = self.scoped(&request.scope);
        let missing = self.listing.missing().filter(|it| scoped.covers(it));
        update.reliability = Reliability {
            missing: missing.map(|it| it.instance.clone()).collect(),
            reliable_in: self.reliable_in(now),
        };
    }

    /// Returns the period in which the store answered before the list was read, for hosts that ask for it.
    pub fn contact(&self, now: Instant) -> Contact {
        let period = self.listing.contact();
        let age = |at: Instant| now.saturating_duration_since(at);
        Contact(period.map(|it| message::Period {
            since: age(it.since),
            until: age(it.until),
        }))
    }

    fn reliable_in(&self, now: Instant) -> Option<Duration> {
        let until = self.listing.unreliable_until(now);
        until.map(|until| until.saturating_duration_since(now))
    }

    /// Returns whether this host has read the list itself, with the last read answered, and can't rely on it by what it knows of the
    /// store.
    pub fn needs_contact(&self) -> bool {
        let has_read = self.source.is_none() && self.position.is_some();
        has_read && self.listing.is_store_answering() && !self.listing.is_reliable()
    }

    fn delta(&self, request: &UpdateRequest) -> Option<Delta<Upstream, id::Instance>> {
        let scoped = self.scoped(&request.scope);
        let position = self.position?;
        let is_behind = request.upstreams.is_some_and(|known| known > position);
        let known = request
            .upstreams
            .filter(|_| is_behind || !request.is_other_source);
        self.history.delta(known, position, &scoped)
    }

    fn scoped<'a>(&'a self, scope: &'a Scope) -> Scoped<'a> {
        Scoped {
            listing: &self.listing,
            scope,
        }
    }

    /// Records a period in which the store answered another host without a gap. Returns the upstreams that are gone, as far as they
    /// were missing only because this host had no contact with the store for a while.
    pub fn record_contact(&mut self, period: Period, now: Instant) -> Changes {
        self.listing.record_reported_contact(period);
        let Some(position) = self.position else {
            return Changes::new();
        };
        let settled = self.settle(Reading { position, now });
        self.advance(position, !settled.is_empty());
        settled
    }

    /// Applies the upstreams in `scope` that a delegate sent and this host received at `now`, unless it knows a later position.
    /// Returns what changed, or `None` if the update does not apply.
    pub fn apply_update(
        &mut self,
        update: &mut Update,
        delegate: SocketAddr,
        scope: listing::Scope,
        now: Instant,
    ) -> Option<Changes> {
        if let Some(settled) = update.settled {
            self.settled = Some(settled);
        }
        let contact = contact(update, now);
        let mut changes = contact.map_or_else(Changes::new, |it| self.record_contact(it, now));
        if let Some(received) = self.apply_list(update, contact, delegate, scope, now) {
            changes.extend(received);
            return Some(changes);
        }
        (!changes.is_empty()).then_some(changes)
    }

    fn apply_list(
        &mut self,
        update: &mut Update,
        contact: Option<Period>,
        delegate: SocketAddr,
        scope: listing::Scope,
        now: Instant,
    ) -> Option<Changes> {
        let delta = update.upstreams.take()?;
        if self.position.is_some_and(|known| delta.position < known) {
            return None;
        }
        // Changes continue only the list that they were made for, and the source may have changed since the request.
        let continues = self.position.is_some() && self.source == Some(delegate);
        if !delta.is_whole && !continues {
            return None;
        }
        let at = Reading {
            position: delta.position,
            now,
        };
        let reliability = listing::Reliability {
            missing: std::mem::take(&mut update.reliability.missing),
            contact,
        };
        let changes = match delta.is_whole {
            true => {
                self.listing.set_scope(scope);
                self.history.reset(at.position);
                self.listing.apply_snapshot(delta.entries, reliability, at)
            }
            false => self
                .listing
                .apply_update(delta.entries, delta.gone, reliability, at),
        };
        // At the next position, since the delegate may have sent changes that no record describes.
        self.record_changes(&changes, at.position + 1);
        self.advance(at.position, !changes.is_empty());
        self.source = Some(delegate);
        Some(changes)
    }

    /// Records changes, for hosts that follow this one.
    fn record_changes(&mut self, changes: &[Change], position: Position) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Listed(upstream) => {
                    self.history.record(position, upstream.instance.clone());
                    self.listed_at.remove(&upstream.instance);
                }
                Change::Gone(instance) => {
                    self.history.record(position, instance.clone());
                    self.listed_at.remove(instance);
                }
                // Still present. Each update has the missing ones.
                Change::Missing(instance) => {
                    let listed_at = self.position.unwrap_or(position);
                    self.listed_at.insert(instance.clone(), listed_at);
                }
            }
        }
        let listed = self.listing.present().count();
        self.history.truncate(listed / HISTORY_DIVISOR);
    }

    /// Records that the list is known up to a position, and whether it changed.
    fn advance(&mut self, position: Position, has_changed: bool) {
        self.position = Some(position);
        if has_changed {
            self.changed = position;
        }
    }
}

/// Returns the period up to the sender's read of the store in which the store had answered without a gap, or `None` if the sender
/// has not read it lately. Times are moved to this host's clock by the time of receipt.
fn contact(update: &Update, now: Instant) -> Option<Period> {
    let age = update.age.upstreams.filter(|age| *age <= MAX_AGE)?;
    let until = now.checked_sub(age)?;
    let since = match update.reliability.reliable_in {
        None => until.checked_sub(RENEWAL_TIME)?,
        Some(reliable_in) => (now + reliable_in).checked_sub(RENEWAL_TIME)?,
    };
    (since <= until).then_some(Period { since, until })
}

/// The upstreams, limited to a scope.
struct Scoped<'a> {
    listing: &'a Listing,
    scope: &'a Scope,
}

impl Scoped<'_> {
    fn covers(&self, upstream: &Upstream) -> bool {
        match self.scope {
            Scope::Whole => true,
            Scope::Domain(domain) => upstream.failure_domain == *domain,
            Scope::Hosts | Scope::Contact => false,
        }
    }
}

impl history::List<Upstream, id::Instance> for Scoped<'_> {
    fn all(&self) -> Vec<Upstream> {
        let present = self.listing.present();
        present.filter(|it| self.covers(it)).cloned().collect()
    }

    fn find(&self, instance: &id::Instance) -> Lookup<Upstream> {
        match self.listing.get(instance) {
            Some(upstream) if self.covers(upstream) => Lookup::InScope(upstream.clone()),
            Some(_) => Lookup::OutOfScope,
            None => Lookup::Missing,
        }
    }
}
