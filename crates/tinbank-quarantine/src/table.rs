//! The requests under which upstreams have ended, as one host knows them.
//!
//! Nobody can tell which request of all that an upstream ran was the reason for its end, so each gets the blame for it, and a request
//! is held back once enough upstreams have ended under it. A request that ends upstreams does so at the same event of its answer each
//! time, mostly before the first. One that gets further than before had no part in the ends before, and whoever gets a
//! whole answer had none in any. Without that, where a third of the upstreams ended by themselves each two seconds, 28 items of jobs were held
//! back within a minute (`tests/fleet`, 12 hosts), which run for long and come again until they are whole.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{
    Fingerprint,
    report::{InFlight, Quarantined, Position, Report},
};

/// Upstreams that have to end under a request before it is held back. With two, one bystander of some 570 that were blamed would have
/// been held back in two minutes in which a third of all upstreams ended by themselves each 2 s; with three none was.
pub const PROOF: u32 = 3;
/// Events by which two answers may differ that got to the same one. Source: upstreams ended 48 to 122 ms after they began to run the
/// request that was seen to do so, and answers have an event each 25 ms or so; what is under way when an upstream ends is lost.
const SAME: Position = 5;
/// How long a request is held back at first. Then it may be tried again, in case what it ran into was mended. Doubled with
/// each upstream beyond the proof. Source: each try costs the answers of all that an upstream runs, and seconds without it.
const HOLD: Duration = Duration::from_secs(60 * 60);
/// Longest time for which a request is held back, and for which an upstream that ended counts. Source: a caller that repeats
/// its requests does so each day at the latest.
const LONGEST_HOLD: Duration = Duration::from_secs(24 * 60 * 60);
/// Most requests that are known, some 200 bytes each: 0.8 MB. Source: each upstream that ends brings those that it ran, some ten,
/// so the bystanders of the last four hundred ends are there. Beyond that, whoever was blamed longest ago is forgotten.
pub const CAPACITY: usize = 4_096;
/// Requests that are forgotten together where there is no room: to look for the oldest takes a look at all.
const FORGOTTEN_AT_ONCE: usize = CAPACITY / 8;
/// Names of upstreams that are kept of a request, so that none counts twice.
const NAMES: usize = 8;

/// What is believed anew of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// One more upstream has ended under it, too few to hold it back.
    Suspected(Quarantined),
    /// It is held back from now on, or for longer.
    HeldBack(Quarantined),
    /// It is not held back any more, and nothing is known against it.
    Cleared(Fingerprint),
}

/// What is to be written to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// A request that is held back.
    Hold(Quarantined),
    /// One that is not held back any more.
    Lift(Fingerprint),
}

/// The requests that are known.
#[derive(Debug, Default)]
pub struct Table {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Those of them that are held back. Every request asks whether there are any, and suspects stay for a day.
    held: HashSet<Fingerprint>,
    /// Requests that stand in the store, and are not held back here.
    to_lift: HashSet<Fingerprint>,
}

#[derive(Debug)]
struct Suspect {
    /// Upstreams that ended under it.
    ended: u32,
    /// The event that its answer had got to when they did.
    reached: Position,
    /// The last ones of them.
    names: SmallVec<[id::Instance; 4]>,
    blamed_at: Instant,
    held_until: Option<Instant>,
    /// It stands in the store.
    is_listed: bool,
}

impl Table {
    /// True if nothing is known against any request, which spares a look at each request's content.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of requests that are known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// True if anything is known against a request.
    pub fn suspects(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// True if a request is held back.
    pub fn holds_any(&self) -> bool {
        !self.held.is_empty()
    }

    /// Number of requests that are held back.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Requests that stand in the store.
    pub fn listed(&self) -> Vec<Quarantined> {
        let listed = self.suspects.iter().filter(|(_, it)| it.is_listed);
        listed.map(|(request, it)| it.held(*request)).collect()
    }

    /// Until when a request is held back, if it is.
    pub fn held_until(&self, request: Fingerprint, now: Instant) -> Option<Instant> {
        let suspect = self.suspects.get(&request)?;
        suspect.held_until.filter(|until| now < *until)
    }

    /// Takes in that an upstream has ended, here or as another host has told.
    pub fn blame(&mut self, report: &Report, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for blamed in &report.requests {
            changes.extend(self.pass(blamed.request, blamed.reached));
            changes.extend(self.blame_one(*blamed, &report.upstream, now));
        }
        changes
    }

    fn blame_one(
        &mut self,
        blamed: InFlight,
        upstream: &id::Instance,
        now: Instant,
    ) -> Option<Change> {
        let InFlight { request, reached } = blamed;
        self.make_room(request);
        let suspect = self.suspects.entry(request);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        // It has been there before, and upstreams went on.
        let was_further = reached + SAME < suspect.reached;
        if was_further || suspect.names.contains(upstream) {
            return None;
        }
        suspect.reached = suspect.reached.max(reached);
        if suspect.names.len() == NAMES {
            suspect.names.remove(0);
        }
        suspect.names.push(upstream.clone());
        suspect.ended += 1;
        suspect.blamed_at = now;
        if suspect.ended < PROOF {
            return Some(Change::Suspected(suspect.held(request)));
        }
        suspect.hold(now);
        self.held.insert(request);
        self.to_lift.remove(&request);
        Some(Change::HeldBack(suspect.held(request)))
    }

    /// A request got this far at an upstream that went on. It is cleared if upstreams had ended before that.
    pub fn pass(&mut self, request: Fingerprint, reached: Position) -> Option<Change> {
        let suspect = self.suspects.get(&request)?;
        match reached > suspect.reached + SAME {
            true => self.clear(request),
            false => None,
        }
    }

    /// A request got a whole answer, here or at another host, so it ends no upstreams. Nothing if nobody held that against it.
    pub fn clear(&mut self, request: Fingerprint) -> Option<Change> {
        self.forget(&request).then_some(Change::Cleared(request))
    }

    /// True if anything was known.
    fn forget(&mut self, request: &Fingerprint) -> bool {
        let Some(suspect) = self.suspects.remove(request) else {
            return false;
        };
        self.held.remove(request);
        if suspect.is_listed {
            self.to_lift.insert(*request);
        }
        true
    }

    /// Takes in a request that stands in the store.
    pub fn list(&mut self, held: Quarantined, now: Instant) -> Option<Change> {
        if self.to_lift.contains(&held.request) {
            return None;
        }
        self.make_room(held.request);
        let suspect = self.suspects.entry(held.request);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        suspect.is_listed = true;
        suspect.ended = suspect.ended.max(held.ended);
        suspect.reached = suspect.reached.max(held.reached);
        if suspect.held_until.is_some() {
            return None;
        }
        suspect.hold(now);
        self.held.insert(held.request);
        Some(Change::HeldBack(suspect.held(held.request)))
    }

    /// Takes in that a request was taken out of the store: its time is up, or it is cleared. It may be tried, and one more
    /// upstream that ends under it is proof enough.
    pub fn unlist(&mut self, request: Fingerprint) {
        self.to_lift.remove(&request);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.release();
            self.held.remove(&request);
        }
    }

    /// Takes in all requests that stand in the store. What stood there before and does not now was taken out.
    pub fn list_all(&mut self, listed: &[Quarantined], now: Instant) -> Vec<Change> {
        let names: HashSet<Fingerprint> = listed.iter().map(|it| it.request).collect();
        self.to_lift.retain(|request| names.contains(request));
        for (request, suspect) in &mut self.suspects {
            if suspect.is_listed && !names.contains(request) {
                suspect.release();
                self.held.remove(request);
            }
        }
        let changes = listed.iter().filter_map(|it| self.list(*it, now));
        changes.collect()
    }

    /// What the store lacks, or has too much. Requests whose time is up are released, and forgotten after the longest time.
    pub fn writes(&mut self, now: Instant) -> Vec<Write> {
        for (request, suspect) in &mut self.suspects {
            if suspect.held_until.is_some_and(|until| now >= until) {
                if suspect.is_listed {
                    self.to_lift.insert(*request);
                }
                suspect.release();
                self.held.remove(request);
            }
        }
        self.suspects
            .retain(|_, it| it.held_until.is_some() || now < it.blamed_at + LONGEST_HOLD);
        let held = self.suspects.iter();
        let unlisted = held.filter(|(_, it)| it.held_until.is_some() && !it.is_listed);
        let holds = unlisted.map(|(request, it)| Write::Hold(it.held(*request)));
        let lifts = self.to_lift.iter().map(|request| Write::Lift(*request));
        holds.chain(lifts).collect()
    }

    /// The store has acknowledged a write.
    pub fn written(&mut self, write: Write) {
        match write {
            Write::Lift(request) => {
                self.to_lift.remove(&request);
            }
            Write::Hold(held) => match self.suspects.get_mut(&held.request) {
                Some(suspect) if suspect.held_until.is_some() => suspect.is_listed = true,
                // It was cleared while it was written.
                _ => {
                    self.to_lift.insert(held.request);
                }
            },
        }
    }

    /// Forgets whoever was blamed longest ago, if there is no room: first those that are not held back.
    fn make_room(&mut self, request: Fingerprint) {
        if self.suspects.len() < CAPACITY || self.suspects.contains_key(&request) {
            return;
        }
        let suspects = self.suspects.iter();
        let by_age =
            suspects.map(|(request, it)| (it.held_until.is_some(), it.blamed_at, *request));
        let mut by_age: Vec<_> = by_age.collect();
        by_age.select_nth_unstable(FORGOTTEN_AT_ONCE);
        for (_, _, request) in &by_age[..FORGOTTEN_AT_ONCE] {
            self.forget(request);
        }
    }
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            ended: 0,
            reached: 0,
            names: SmallVec::new(),
            blamed_at: now,
            held_until: None,
            is_listed: false,
        }
    }

    fn held(&self, request: Fingerprint) -> Quarantined {
        Quarantined {
            request,
            ended: self.ended,
            reached: self.reached,
        }
    }

    fn hold(&mut self, now: Instant) {
        let doublings = self.ended.saturating_sub(PROOF).min(u32::BITS - 1);
        let time = HOLD.saturating_mul(1 << doublings).min(LONGEST_HOLD);
        self.held_until = Some(now + time);
    }

    fn release(&mut self) {
        self.held_until = None;
        self.is_listed = false;
    }
}
