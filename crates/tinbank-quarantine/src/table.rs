//! The requests, and parts of prompts, that one host suspects of crashing upstreams.
//!
//! The cause of a crash can't be told among all requests that the upstream was running, so each of them becomes a suspect, and a
//! suspect is quarantined once enough upstreams have crashed while they ran it. A request that crashes upstreams does so at the
//! same event of its answer each time, mostly before the first. One that gets further than before did not cause the earlier
//! crashes, and one that completes caused none. Without that rule, crashes with other causes would quarantine long-running items
//! of jobs, which are retried until they complete.
//!
//! Requests that are no two alike may share a part of their prompts that crashes upstreams as they begin to answer. The parts of such
//! requests become suspects too, see [`crate::part`].

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{
    Fingerprint,
    part::{Continuation, Evidence, ONE_MOMENT},
    report::{CrashReport, InFlight, Kind, Position, Quarantined, Source},
    trial::{PartTrials, Schedule, Trials},
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
    /// The part is no longer a suspect.
    PartCleared(Fingerprint),
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Nothing speaks against it.
    Granted,
    /// As the only one with a quarantined part, or as a quarantined item, to find out whether that still crashes upstreams.
    Trial,
    /// The request or a part of its prompt is quarantined.
    Denied(Denial),
}

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// What is quarantined.
    pub subject: Fingerprint,
    /// Whether that is the request, the item or a part of its prompt.
    pub kind: Kind,
    /// When a request may be tried again.
    pub until: Instant,
}

/// A pending write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// Adds a quarantined request or part.
    Quarantine(Quarantined),
    /// Removes one that is no longer quarantined.
    Release(Fingerprint),
}

/// The suspects of one host.
#[derive(Debug, Default)]
pub struct Table {
    suspects: HashMap<Fingerprint, Suspect>,
    /// The quarantined suspects. Each request checks whether there are any, and suspects stay for a day.
    quarantined: HashSet<Fingerprint>,
    /// Suspects that are in the store and no longer quarantined here.
    to_release: HashSet<Fingerprint>,
    /// Upstreams that crashed at the present moment, and when that became known.
    recent_crashes: VecDeque<(Instant, id::Instance)>,
    /// This host's share of the largest jitter of trials, from 0 to 1.
    trial_jitter: f64,
}

#[derive(Debug)]
struct Suspect {
    blame: Blame,
    last_crash_at: Instant,
    quarantined_until: Option<Instant>,
    /// Whether the store has it.
    is_stored: bool,
    /// Whether the store has an earlier state of it.
    is_outdated: bool,
}

/// What a suspect is blamed for.
#[derive(Debug)]
enum Blame {
    Content(Crashes),
    Item {
        crashes: Crashes,
        /// Set while it is quarantined.
        trials: Option<Trials>,
        trial_jitter: f64,
    },
    Part {
        evidence: Box<Evidence>,
        /// Set while it is quarantined.
        trials: Option<Box<PartTrials>>,
        trial_jitter: f64,
    },
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
    /// Creates the table of a host whose trials of quarantined parts begin later than those of others, by a share of the largest jitter
    /// from 0 to 1.
    pub fn with_trial_jitter(trial_jitter: f64) -> Self {
        Self {
            trial_jitter,
            ..Self::default()
        }
    }

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
        self.content(request).map_or(0, |it| it.count)
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
        let mut crashes = self.content(request).cloned().unwrap_or_default();
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

    /// Returns whether a request must not be sent before the upstreams that broke answers off are probed: if those that had just begun to
    /// answer requests with a part of its prompt have crashed, one more crash would quarantine the part.
    pub fn parts_must_wait_for_probes(
        &self,
        request: &InFlight,
        interrupted: &[(&id::Instance, &InFlight)],
        now: Instant,
    ) -> bool {
        request.continuations().any(|(part, continuation)| {
            let mut evidence = self.evidence(part, now);
            let known = evidence.crashes;
            for (upstream, interrupted) in interrupted {
                let mut continuations = interrupted.continuations();
                if let Some((_, other)) = continuations.find(|(it, _)| *it == part) {
                    evidence.add(upstream, other, now);
                }
            }
            let is_probed = evidence.crashes > known;
            evidence.add(&id::Instance::from(""), continuation, now);
            is_probed && evidence.is_proof(self.recent_crashes.len())
        })
    }

    /// Returns whether any request is quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantined.is_empty()
    }

    /// Returns the number of quarantined requests or parts.
    pub fn quarantined(&self, kind: Kind) -> usize {
        let suspects = self.suspects.values();
        let quarantined = suspects.filter(|it| it.quarantined_until.is_some());
        quarantined.filter(|it| it.kind() == kind).count()
    }

    /// Returns the requests and parts that the store has.
    pub fn stored(&self) -> Vec<Quarantined> {
        let stored = self.suspects.iter().filter(|(_, it)| it.is_stored);
        stored.map(|(subject, it)| it.summary(*subject)).collect()
    }

    /// Returns the end of a request's quarantine, if it is quarantined.
    pub fn quarantined_until(&self, request: Fingerprint, now: Instant) -> Option<Instant> {
        let suspect = self.suspects.get(&request)?;
        suspect.quarantined_until.filter(|until| now < *until)
    }

    /// Returns whether a request with shared parts of its prompt may be sent.
    pub fn permission(
        &self,
        source: Source,
        request: Fingerprint,
        parts: &[Fingerprint],
        now: Instant,
    ) -> Permission {
        let mut permission = Permission::Granted;
        for subject in std::iter::once(&request).chain(parts) {
            let Some(suspect) = self.suspects.get(subject) else {
                continue;
            };
            if let Some(until) = suspect.denied_until(source, now) {
                return Permission::Denied(Denial {
                    subject: *subject,
                    kind: suspect.kind(),
                    until,
                });
            }
            if suspect.trials(source).is_some() {
                permission = Permission::Trial;
            }
        }
        permission
    }

    /// Records that this host sends a request as a trial of itself, if it is an item, and of the parts of its prompt. Returns those of them
    /// that are quarantined.
    pub fn begin_trial(
        &mut self,
        source: Source,
        subjects: &[Fingerprint],
        now: Instant,
    ) -> SmallVec<[Fingerprint; 2]> {
        let mut tried = SmallVec::new();
        for subject in subjects {
            if let Some(trials) = self.trials_mut(source, *subject) {
                trials.begin_here(now);
                tried.push(*subject);
            }
        }
        tried
    }

    /// Records that the trial of an item or a part that this host began did not run.
    pub fn withdraw_trial(&mut self, source: Source, subject: Fingerprint) {
        if let Some(trials) = self.trials_mut(source, subject) {
            trials.withdraw();
        }
    }

    /// Returns whether a trial of an item or a part has begun since the last crash.
    pub fn is_tried(&self, source: Source, subject: Fingerprint) -> bool {
        let suspect = self.suspects.get(&subject);
        let trials = suspect.and_then(|it| it.trials(source));
        trials.is_some_and(Trials::is_running)
    }

    /// Records that another host sends a request as a trial of an item or a part. Returns whether that is quarantined.
    pub fn record_trial(&mut self, source: Source, subject: Fingerprint, now: Instant) -> bool {
        let trials = self.trials_mut(source, subject);
        trials.map(|it| it.begin(now)).is_some()
    }

    fn trials_mut(&mut self, source: Source, subject: Fingerprint) -> Option<&mut Trials> {
        let suspect = self.suspects.get_mut(&subject);
        suspect.and_then(|it| it.trials_mut(source))
    }

    /// Records a crash of an upstream, seen here or reported by another host.
    pub fn record_crash(&mut self, report: &CrashReport, now: Instant) -> Vec<Change> {
        let upstream = &report.upstream;
        let recent_crashes = self.count_crash(upstream, now);
        let mut changes = Vec::new();
        for in_flight in &report.requests {
            changes.extend(self.record_progress(in_flight.request, in_flight.reached));
            let (request, source) = (in_flight.request, in_flight.source);
            changes.extend(self.blame(request, source.kind(), now, |suspect| {
                suspect.add_crash(upstream, in_flight.reached, now)
            }));
            for (part, continuation) in in_flight.continuations() {
                changes.extend(self.blame(part, Kind::Part, now, |suspect| {
                    suspect.add_crash_of_part(source, upstream, continuation, recent_crashes, now)
                }));
            }
        }
        changes
    }

    /// Returns the number of upstreams that crashed at this moment, this one included.
    fn count_crash(&mut self, upstream: &id::Instance, now: Instant) -> usize {
        let recent = &mut self.recent_crashes;
        while recent
            .front()
            .is_some_and(|(at, _)| now >= *at + ONE_MOMENT)
        {
            recent.pop_front();
        }
        if !recent.iter().any(|(_, it)| it == upstream) {
            recent.push_back((now, upstream.clone()));
        }
        recent.len()
    }

    /// Adds a crash to a suspect. `add` returns whether it counts.
    fn blame(
        &mut self,
        subject: Fingerprint,
        kind: Kind,
        now: Instant,
        add: impl FnOnce(&mut Suspect) -> bool,
    ) -> Option<Change> {
        self.evict_if_full(subject);
        let suspect = self.suspects.entry(subject);
        let jitter = self.trial_jitter;
        let suspect = suspect.or_insert_with(|| Suspect::new(kind, jitter, now));
        if !add(suspect) {
            return None;
        }
        suspect.last_crash_at = now;
        let summary = suspect.summary(subject);
        if suspect.quarantined_until.is_none() {
            return Some(Change::Suspected(summary));
        }
        self.quarantined.insert(subject);
        self.to_release.remove(&subject);
        Some(Change::Quarantined(summary))
    }

    /// Records that the answer to a request reached an event. Clears the request if upstreams had crashed before that event.
    pub fn record_progress(&mut self, request: Fingerprint, reached: Position) -> Option<Change> {
        match self.content(request)?.are_passed_at(reached) {
            true => self.clear(request),
            false => None,
        }
    }

    /// Records that an upstream began an answer and did not crash, which clears the parts of its prompt. `began_at` is when the answer got
    /// beyond its start or, if only its end was seen, when the request was sent.
    pub fn record_sound_parts(&mut self, parts: &[Fingerprint], began_at: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in parts {
            let blame = self.suspects.get(part).map(|it| &it.blame);
            if let Some(Blame::Part { evidence, .. }) = blame
                && evidence.is_refuted_by(began_at)
            {
                changes.extend(self.clear(*part));
            }
        }
        changes
    }

    /// Clears a request whose answer was completed, or a part that is sound, here or at another host. Returns None if it was no suspect.
    pub fn clear(&mut self, subject: Fingerprint) -> Option<Change> {
        match self.remove(&subject)? {
            Kind::Content | Kind::Item => Some(Change::Cleared(subject)),
            Kind::Part => Some(Change::PartCleared(subject)),
        }
    }

    /// Returns what the subject was, if it was a suspect.
    fn remove(&mut self, subject: &Fingerprint) -> Option<Kind> {
        let suspect = self.suspects.remove(subject)?;
        self.quarantined.remove(subject);
        if suspect.is_stored {
            self.to_release.insert(*subject);
        }
        Some(suspect.kind())
    }

    /// Applies a quarantined request or part that was read from the store.
    pub fn apply_stored(&mut self, stored: Quarantined, now: Instant) -> Option<Change> {
        let subject = stored.subject;
        if self.to_release.contains(&subject) {
            return None;
        }
        self.evict_if_full(subject);
        let suspect = self.suspects.entry(subject);
        let jitter = self.trial_jitter;
        let suspect = suspect.or_insert_with(|| Suspect::new(stored.kind, jitter, now));
        suspect.is_stored = true;
        suspect.merge(stored, now);
        if suspect.quarantined_until.is_some() {
            return None;
        }
        suspect.quarantine(stored.failed_trials, now);
        self.quarantined.insert(subject);
        Some(Change::Quarantined(suspect.summary(subject)))
    }

    /// Applies the removal of a request or part from the store, after its quarantine expired or it was cleared. It may be tried
    /// again, and is quarantined again after one more crash.
    pub fn apply_removal(&mut self, subject: Fingerprint) {
        self.to_release.remove(&subject);
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.release();
            self.quarantined.remove(&subject);
        }
    }

    /// Applies all requests and parts that the store has. Those that were stored before and are missing now are released.
    pub fn replace_stored(&mut self, stored: &[Quarantined], now: Instant) -> Vec<Change> {
        let subjects: HashSet<Fingerprint> = stored.iter().map(|it| it.subject).collect();
        self.to_release.retain(|subject| subjects.contains(subject));
        for (subject, suspect) in &mut self.suspects {
            if suspect.is_stored && !subjects.contains(subject) {
                suspect.release();
                self.quarantined.remove(subject);
            }
        }
        let changes = stored.iter().filter_map(|it| self.apply_stored(*it, now));
        changes.collect()
    }

    /// Returns the pending writes to the store. Releases what has been quarantined for long enough, and drops suspects without a
    /// recent crash.
    pub fn pending_writes(&mut self, now: Instant) -> Vec<Write> {
        for (subject, suspect) in &mut self.suspects {
            if suspect.quarantined_until.is_some_and(|until| now >= until) {
                if suspect.is_stored {
                    self.to_release.insert(*subject);
                }
                suspect.release();
                self.quarantined.remove(subject);
            }
        }
        self.suspects.retain(|_, it| {
            it.quarantined_until.is_some() || now < it.last_crash_at + MAX_QUARANTINE
        });
        let suspects = self.suspects.iter();
        let unstored = suspects.filter(|(_, it)| it.has_to_be_stored());
        let additions = unstored.map(|(subject, it)| Write::Quarantine(it.summary(*subject)));
        let releases = self
            .to_release
            .iter()
            .map(|subject| Write::Release(*subject));
        additions.chain(releases).collect()
    }

    /// Records that the store has acknowledged a write.
    pub fn confirm_write(&mut self, write: Write) {
        match write {
            Write::Release(subject) => {
                self.to_release.remove(&subject);
            }
            Write::Quarantine(stored) => match self.suspects.get_mut(&stored.subject) {
                Some(suspect) if suspect.quarantined_until.is_some() => {
                    suspect.is_stored = true;
                    let current = suspect.summary(stored.subject);
                    suspect.is_outdated = current.failed_trials != stored.failed_trials;
                }
                // It was cleared during the write.
                _ => {
                    self.to_release.insert(stored.subject);
                }
            },
        }
    }

    /// Evicts the suspects with the oldest crashes if the table is full and `subject` is not in it. Quarantined suspects go last.
    fn evict_if_full(&mut self, subject: Fingerprint) {
        if self.suspects.len() < CAPACITY || self.suspects.contains_key(&subject) {
            return;
        }
        let suspects = self.suspects.iter();
        let by_age = suspects
            .map(|(subject, it)| (it.quarantined_until.is_some(), it.last_crash_at, *subject));
        let mut by_age: Vec<_> = by_age.collect();
        by_age.select_nth_unstable(EVICTION_BATCH);
        for (_, _, subject) in &by_age[..EVICTION_BATCH] {
            self.remove(subject);
        }
    }

    /// Returns the crashes that a request is blamed for.
    fn content(&self, request: Fingerprint) -> Option<&Crashes> {
        match &self.suspects.get(&request)?.blame {
            Blame::Content(crashes) | Blame::Item { crashes, .. } => Some(crashes),
            Blame::Part { .. } => None,
        }
    }

    /// Returns the evidence against a part, none if it is no suspect.
    fn evidence(&self, part: Fingerprint, now: Instant) -> Evidence {
        match self.suspects.get(&part).map(|it| &it.blame) {
            Some(Blame::Part { evidence, .. }) => Evidence::clone(evidence),
            _ => Evidence::new(now),
        }
    }
}

impl InFlight {
    /// Returns each part with what follows it in the prompt.
    fn continuations(&self) -> impl Iterator<Item = (Fingerprint, Continuation)> {
        let next = self.parts.iter().skip(1).copied().map(Continuation::Part);
        let rest = std::iter::once(Continuation::Content(self.request));
        self.parts.iter().copied().zip(next.chain(rest))
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

    /// Returns the duration of the quarantine after so many crashes.
    fn quarantine_time(&self) -> Duration {
        let doublings = self
            .count
            .saturating_sub(CRASH_THRESHOLD)
            .min(u32::BITS - 1);
        FIRST_QUARANTINE
            .saturating_mul(1 << doublings)
            .min(MAX_QUARANTINE)
    }

    /// Returns whether an answer that reached an event got beyond these crashes.
    fn are_passed_at(&self, reached: Position) -> bool {
        reached > self.reached + POSITION_TOLERANCE
    }
}

impl Suspect {
    fn new(kind: Kind, trial_jitter: f64, now: Instant) -> Self {
        let blame = match kind {
            Kind::Content => Blame::Content(Crashes::default()),
            Kind::Item => Blame::Item {
                crashes: Crashes::default(),
                trials: None,
                trial_jitter,
            },
            Kind::Part => Blame::Part {
                evidence: Box::new(Evidence::new(now)),
                trials: None,
                trial_jitter,
            },
        };
        Self {
            blame,
            last_crash_at: now,
            quarantined_until: None,
            is_stored: false,
            is_outdated: false,
        }
    }

    fn kind(&self) -> Kind {
        match self.blame {
            Blame::Content(_) => Kind::Content,
            Blame::Item { .. } => Kind::Item,
            Blame::Part { .. } => Kind::Part,
        }
    }

    fn is_item(&self) -> bool {
        matches!(self.blame, Blame::Item { .. })
    }

    /// Returns until when requests of a source must not be sent because of it, if so.
    fn denied_until(&self, source: Source, now: Instant) -> Option<Instant> {
        let until = match self.trials(source) {
            Some(trials) => trials.due_at(now),
            None => self.quarantined_until?,
        };
        (now < until).then_some(until)
    }

    /// Returns its trials by a source, if it is quarantined and may be tried.
    fn trials(&self, source: Source) -> Option<&Trials> {
        match &self.blame {
            Blame::Item { trials, .. } => trials.as_ref(),
            Blame::Part { trials, .. } => trials.as_ref().map(|it| it.of(source)),
            Blame::Content(_) => None,
        }
    }

    fn trials_mut(&mut self, source: Source) -> Option<&mut Trials> {
        match &mut self.blame {
            Blame::Item { trials, .. } => trials.as_mut(),
            Blame::Part { trials, .. } => trials.as_mut().map(|it| it.of_mut(source)),
            Blame::Content(_) => None,
        }
    }

    /// Returns the number of trials that crashed an upstream. Those of a part by items do not count, since items are not the cause.
    fn failed_trials(&self) -> u32 {
        let trials = match &self.blame {
            Blame::Item { trials, .. } => trials.as_ref(),
            Blame::Part { trials, .. } => trials.as_ref().map(|it| &it.callers),
            Blame::Content(_) => None,
        };
        trials.map_or(0, |it| it.failed)
    }

    fn summary(&self, subject: Fingerprint) -> Quarantined {
        let (ended, reached) = match &self.blame {
            Blame::Content(crashes) | Blame::Item { crashes, .. } => {
                (crashes.count, crashes.reached)
            }
            Blame::Part { evidence, .. } => (evidence.crashes, 0),
        };
        Quarantined {
            subject,
            kind: self.kind(),
            ended,
            reached,
            failed_trials: self.failed_trials(),
        }
    }

    /// Adds a crash that a request is blamed for, and quarantines it if there were enough. Returns whether it counts.
    fn add_crash(&mut self, upstream: &id::Instance, reached: Position, now: Instant) -> bool {
        let (crashes, trials) = match &mut self.blame {
            Blame::Content(crashes) => (crashes, None),
            Blame::Item {
                crashes, trials, ..
            } => (crashes, trials.as_mut()),
            Blame::Part { .. } => return false,
        };
        if !crashes.add(upstream, reached) {
            return false;
        }
        if let Some(trials) = trials {
            trials.record_crash(now);
            self.quarantined_until = Some(now + MAX_QUARANTINE);
        } else if crashes.count >= CRASH_THRESHOLD {
            self.quarantine(0, now);
        }
        true
    }

    /// Adds a crash that a part is blamed for, and quarantines it if that is proof. Returns whether it counts.
    fn add_crash_of_part(
        &mut self,
        source: Source,
        upstream: &id::Instance,
        continuation: Continuation,
        recent_crashes: usize,
        now: Instant,
    ) -> bool {
        let Blame::Part {
            evidence, trials, ..
        } = &mut self.blame
        else {
            return false;
        };
        if !evidence.add(upstream, continuation, now) {
            return false;
        }
        match trials {
            Some(trials) => {
                let failed = trials.callers.failed;
                trials.of_mut(source).record_crash(now);
                self.is_outdated |= trials.callers.failed != failed;
                self.quarantined_until = Some(now + MAX_QUARANTINE);
            }
            None if evidence.is_proof(recent_crashes) => self.quarantine(0, now),
            None => {}
        }
        true
    }

    /// Applies what the store has of it.
    fn merge(&mut self, stored: Quarantined, now: Instant) {
        match &mut self.blame {
            Blame::Content(crashes) | Blame::Item { crashes, .. } => {
                crashes.count = crashes.count.max(stored.ended);
                crashes.reached = crashes.reached.max(stored.reached);
            }
            Blame::Part {
                evidence, trials, ..
            } => {
                evidence.crashes = evidence.crashes.max(stored.ended);
                if let Some(trials) = trials {
                    trials.callers.merge(stored.failed_trials, now);
                }
            }
        }
    }

    fn quarantine(&mut self, failed_trials: u32, now: Instant) {
        let time = match &mut self.blame {
            Blame::Content(crashes) => crashes.quarantine_time(),
            Blame::Item {
                trials,
                trial_jitter,
                ..
            } => {
                let schedule = Schedule::ITEM;
                *trials = Some(Trials::new(schedule, failed_trials, *trial_jitter, now));
                MAX_QUARANTINE
            }
            Blame::Part {
                trials,
                trial_jitter,
                ..
            } => {
                let new = PartTrials::new(failed_trials, *trial_jitter, now);
                *trials = Some(Box::new(new));
                MAX_QUARANTINE
            }
        };
        self.quarantined_until = Some(now + time);
    }

    fn release(&mut self) {
        self.quarantined_until = None;
        self.is_stored = false;
        self.is_outdated = false;
        match &mut self.blame {
            Blame::Content(_) => {}
            Blame::Item { trials, .. } => *trials = None,
            Blame::Part { trials, .. } => *trials = None,
        }
    }

    /// Returns whether the store lacks it. Items are not stored: a host that starts without them tries them sooner, and counts anew.
    fn has_to_be_stored(&self) -> bool {
        let is_missing = !self.is_stored || self.is_outdated;
        self.quarantined_until.is_some() && is_missing && !self.is_item()
    }
}
