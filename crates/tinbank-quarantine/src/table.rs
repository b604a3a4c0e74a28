//! The requests that one host suspects of crashing upstreams.
//!
//! The cause of a crash can't be told among all requests that the upstream was running, so each of them becomes a suspect, and a
//! suspect is quarantined once enough upstreams have crashed while they ran it. A request that crashes upstreams does so at the
//! same event of its answer each time, mostly before the first. One that gets further than before did not cause the earlier
//! crashes, and one that completes caused none. Without that rule, crashes with other causes would quarantine long-running items
//! of jobs, which are retried until they complete.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{
    Fingerprint,
    report::{CrashReport, InFlight, Position, Quarantined},
};

/// Number of upstreams that have to crash while they run a request before it is quarantined. With fewer, frequent
/// crashes with other causes would quarantine innocent requests. While a third of all upstreams crashed for other
/// reasons each 2 s, two crashes would have quarantined one of some 570 innocent requests in two minutes, three none.
pub const CRASH_THRESHOLD: u32 = 3;
/// Events by which two positions may differ and still count as the same one: events in flight are lost when an upstream
/// crashes. Upstreams crash 48 to 122 ms after they begin to run such a request, and send an event each 25 ms or so.
const POSITION_TOLERANCE: Position = 5;
/// Duration of the first quarantine. Doubled with each crash beyond the threshold. A request is tried again afterwards, in case
/// the fault that it triggers was fixed; each try costs the answers of all requests that the upstream runs.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60 * 60);
/// Longest duration of a quarantine, and time for which a crash counts. Callers that repeat a request do so within a day.
const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 60 * 60);
/// Largest number of suspects, of some 200 bytes each. The least recently blamed ones are evicted beyond that. A crash
/// adds the requests that the upstream ran, some ten, so those of the last four hundred crashes fit.
pub const CAPACITY: usize = 4_096;
/// Number of suspects evicted together, since finding the oldest takes a scan of all.
const EVICTION_BATCH: usize = CAPACITY / 8;
/// Number of upstreams kept for each suspect, so that none is counted twice.
const MAX_UPSTREAMS: usize = 8;

/// A change of what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// One more upstream crashed while it ran the request, too few to quarantine it.
    Suspected(Quarantined),
    /// The request is quarantined, or its quarantine is extended.
    Quarantined(Quarantined),
    /// The request is no longer a suspect.
    Cleared(Fingerprint),
}

/// A pending write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// Adds a quarantined request.
    Quarantine(Quarantined),
    /// Removes a request that is no longer quarantined.
    Release(Fingerprint),
}

/// The suspects of one host.
#[derive(Debug, Default)]
pub struct Table {
    suspects: HashMap<Fingerprint, Suspect>,
    /// The quarantined suspects. Each request checks whether there are any, and suspects stay for a day.
    quarantined: HashSet<Fingerprint>,
    /// Requests that are in the store and no longer quarantined here.
    to_release: HashSet<Fingerprint>,
}

#[derive(Debug)]
struct Suspect {
    crashes: Crashes,
    last_crash_at: Instant,
    quarantined_until: Option<Instant>,
    /// Whether the store has it.
    is_stored: bool,
}

/// The crashes that a request is blamed for.
#[derive(Clone, Debug, Default)]
struct Crashes {
    /// Number of upstreams that crashed while they ran it.
    count: u32,
    /// Furthest event of its answer before these crashes.
    reached: Position,
    /// The latest of these upstreams.
    upstreams: SmallVec<[id::Instance; 4]>,
}

/// An answer that broke off at an upstream, which may have crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interruption {
    /// The upstream.
    pub upstream: id::Instance,
    /// Last event of the answer that was received before; 0 if there was none.
    pub reached: Position,
}

impl Table {
    /// Returns whether there are no suspects, in which case fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether a request is a suspect.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Returns the number of upstreams that are known to have crashed while they ran a request.
    pub fn crashes(&self, request: Fingerprint) -> u32 {
        self.suspects.get(&request).map_or(0, |it| it.crashes.count)
    }

    /// Returns whether a request must not be sent before the upstreams that interrupted its answers are probed: if all of them have
    /// crashed, one more crash would quarantine it. Until then it may go on at once, so that a lost connection alone delays no answer.
    pub fn must_wait_for_probes(
        &self,
        request: Fingerprint,
        mut interruptions: SmallVec<[Interruption; 2]>,
    ) -> bool {
        if interruptions.is_empty() {
            return false;
        }
        let suspect = self.suspects.get(&request);
        let mut crashes = suspect.map_or_else(Crashes::default, |it| it.crashes.clone());
        // An answer that got further clears the request of the crashes before, whatever becomes known first.
        interruptions.sort_unstable_by_key(|it| it.reached);
        for Interruption { upstream, reached } in interruptions {
            if crashes.are_passed_at(reached) {
                crashes = Crashes::default();
            }
            crashes.add(&upstream, reached);
        }
        crashes.count + 1 >= CRASH_THRESHOLD
    }

    /// Returns whether any request is quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantined.is_empty()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns the requests that the store has.
    pub fn stored(&self) -> Vec<Quarantined> {
        let stored = self.suspects.iter().filter(|(_, it)| it.is_stored);
        stored.map(|(request, it)| it.summary(*request)).collect()
    }

    /// Returns the end of a request's quarantine, if it is quarantined.
    pub fn quarantined_until(&self, request: Fingerprint, now: Instant) -> Option<Instant> {
        let suspect = self.suspects.get(&request)?;
        suspect.quarantined_until.filter(|until| now < *until)
    }

    /// Records a crash of an upstream, seen here or reported by another host.
    pub fn record_crash(&mut self, report: &CrashReport, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for in_flight in &report.requests {
            changes.extend(self.record_progress(in_flight.request, in_flight.reached));
            changes.extend(self.blame(*in_flight, &report.upstream, now));
        }
        changes
    }

    fn blame(
        &mut self,
        in_flight: InFlight,
        upstream: &id::Instance,
        now: Instant,
    ) -> Option<Change> {
        let InFlight { request, reached } = in_flight;
        self.evict_if_full(request);
        let suspect = self.suspects.entry(request);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        if !suspect.crashes.add(upstream, reached) {
            return None;
        }
        suspect.last_crash_at = now;
        if suspect.crashes.count < CRASH_THRESHOLD {
            return Some(Change::Suspected(suspect.summary(request)));
        }
        suspect.quarantine(now);
        self.quarantined.insert(request);
        self.to_release.remove(&request);
        Some(Change::Quarantined(suspect.summary(request)))
    }

    /// Records that the answer to a request reached an event. Clears the request if upstreams had crashed before that event.
    pub fn record_progress(&mut self, request: Fingerprint, reached: Position) -> Option<Change> {
        let suspect = self.suspects.get(&request)?;
        match suspect.crashes.are_passed_at(reached) {
            true => self.clear(request),
            false => None,
        }
    }

    /// Clears a request whose answer was completed, here or at another host. Returns None if it was no suspect.
    pub fn clear(&mut self, request: Fingerprint) -> Option<Change> {
        self.remove(&request).then_some(Change::Cleared(request))
    }

    /// Returns whether the request was a suspect.
    fn remove(&mut self, request: &Fingerprint) -> bool {
        let Some(suspect) = self.suspects.remove(request) else {
            return false;
        };
        self.quarantined.remove(request);
        if suspect.is_stored {
            self.to_release.insert(*request);
        }
        true
    }

    /// Applies a quarantined request that was read from the store.
    pub fn apply_stored(&mut self, stored: Quarantined, now: Instant) -> Option<Change> {
        if self.to_release.contains(&stored.request) {
            return None;
        }
        self.evict_if_full(stored.request);
        let suspect = self.suspects.entry(stored.request);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        suspect.is_stored = true;
        let crashes = &mut suspect.crashes;
        crashes.count = crashes.count.max(stored.ended);
        crashes.reached = crashes.reached.max(stored.reached);
        if suspect.quarantined_until.is_some() {
            return None;
        }
        suspect.quarantine(now);
        self.quarantined.insert(stored.request);
        Some(Change::Quarantined(suspect.summary(stored.request)))
    }

    /// Applies the removal of a request from the store, after its quarantine expired or it was cleared. The request may be tried
    /// again, and is quarantined again after one more crash.
    pub fn apply_removal(&mut self, request: Fingerprint) {
        self.to_release.remove(&request);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.release();
            self.quarantined.remove(&request);
        }
    }

    /// Applies all requests that the store has. Those that were stored before and are missing now are released.
    pub fn replace_stored(&mut self, stored: &[Quarantined], now: Instant) -> Vec<Change> {
        let requests: HashSet<Fingerprint> = stored.iter().map(|it| it.request).collect();
        self.to_release.retain(|request| requests.contains(request));
        for (request, suspect) in &mut self.suspects {
            if suspect.is_stored && !requests.contains(request) {
                suspect.release();
                self.quarantined.remove(request);
            }
        }
        let changes = stored.iter().filter_map(|it| self.apply_stored(*it, now));
        changes.collect()
    }

    /// Returns the pending writes to the store. Releases requests whose quarantine has expired, and drops suspects without a
    /// recent crash.
    pub fn pending_writes(&mut self, now: Instant) -> Vec<Write> {
        for (request, suspect) in &mut self.suspects {
            if suspect.quarantined_until.is_some_and(|until| now >= until) {
                if suspect.is_stored {
                    self.to_release.insert(*request);
                }
                suspect.release();
                self.quarantined.remove(request);
            }
        }
        self.suspects.retain(|_, it| {
            it.quarantined_until.is_some() || now < it.last_crash_at + MAX_QUARANTINE
        });
        let suspects = self.suspects.iter();
        let unstored = suspects.filter(|(_, it)| it.quarantined_until.is_some() && !it.is_stored);
        let additions = unstored.map(|(request, it)| Write::Quarantine(it.summary(*request)));
        let releases = self
            .to_release
            .iter()
            .map(|request| Write::Release(*request));
        additions.chain(releases).collect()
    }

    /// Records that the store has acknowledged a write.
    pub fn confirm_write(&mut self, write: Write) {
        match write {
            Write::Release(request) => {
                self.to_release.remove(&request);
            }
            Write::Quarantine(stored) => match self.suspects.get_mut(&stored.request) {
                Some(suspect) if suspect.quarantined_until.is_some() => suspect.is_stored = true,
                // The request was cleared during the write.
                _ => {
                    self.to_release.insert(stored.request);
                }
            },
        }
    }

    /// Evicts the suspects with the oldest crashes if the table is full and `request` is not in it. Quarantined suspects go last.
    fn evict_if_full(&mut self, request: Fingerprint) {
        if self.suspects.len() < CAPACITY || self.suspects.contains_key(&request) {
            return;
        }
        let suspects = self.suspects.iter();
        let by_age = suspects
            .map(|(request, it)| (it.quarantined_until.is_some(), it.last_crash_at, *request));
        let mut by_age: Vec<_> = by_age.collect();
        by_age.select_nth_unstable(EVICTION_BATCH);
        for (_, _, request) in &by_age[..EVICTION_BATCH] {
            self.remove(request);
        }
    }
}

impl Crashes {
    /// Adds the crash of an upstream after an event of the answer. Returns false if it is known or has another cause.
    fn add(&mut self, upstream: &id::Instance, reached: Position) -> bool {
        // The request has passed this position before without a crash.
        let was_further = reached + POSITION_TOLERANCE < self.reached;
        if was_further || self.upstreams.contains(upstream) {
            return false;
        }
        self.reached = self.reached.max(reached);
        if self.upstreams.len() == MAX_UPSTREAMS {
            self.upstreams.remove(0);
        }
        self.upstreams.push(upstream.clone());
        self.count += 1;
        true
    }

    /// Returns whether an answer that reached an event got beyond these crashes.
    fn are_passed_at(&self, reached: Position) -> bool {
        reached > self.reached + POSITION_TOLERANCE
    }
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            crashes: Crashes::default(),
            last_crash_at: now,
            quarantined_until: None,
            is_stored: false,
        }
    }

    fn summary(&self, request: Fingerprint) -> Quarantined {
        Quarantined {
            request,
            ended: self.crashes.count,
            reached: self.crashes.reached,
        }
    }

    fn quarantine(&mut self, now: Instant) {
        let doublings = self
            .crashes
            .count
            .saturating_sub(CRASH_THRESHOLD)
            .min(u32::BITS - 1);
        let time = FIRST_QUARANTINE
            .saturating_mul(1 << doublings)
            .min(MAX_QUARANTINE);
        self.quarantined_until = Some(now + time);
    }

    fn release(&mut self) {
        self.quarantined_until = None;
        self.is_stored = false;
    }
}
