//! Checks of the order of events against what callers received and engines were asked for.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    EVENTS,
    caller::{Attempt, Event, Stream},
    fleet::{Fleet, Framing},
};

/// What is out of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// An event of an answer is missing or repeated, or the answer does not start where it was to resume.
    Numbers,
    /// A text joins runs that do not go on from each other.
    Runs,
    /// A text has events of two versions.
    Versions,
    /// An answer looks whole, and lacks its last event.
    End,
}

pub struct Violation {
    pub side: Side,
    /// Framing of each engine that sent a part of the answer, or of the one that ran it without an event.
    pub framings: Vec<Framing>,
    /// Id of the attempt, and what is wrong.
    pub what: String,
}

/// Returns all violations, also of answers that were not received to their end.
pub fn violations(fleet: &Fleet, streams: &[Stream]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for stream in streams {
        let found = stream.attempts.iter().flat_map(|attempt| {
            let checks = [
                numbers_violation(attempt),
                runs_violation(fleet, stream, attempt),
                end_violation(attempt),
            ];
            let found = checks.into_iter().flatten();
            found.map(move |(side, what)| (side, format!("{}: {what}", attempt.id), attempt))
        });
        let versions = versions_violation(fleet, stream)
            .zip(stream.attempts.last())
            .map(|(what, last)| (Side::Versions, what, last));
        violations.extend(
            found
                .chain(versions)
                .map(|(side, what, attempt)| Violation {
                    side,
                    framings: framings(fleet, attempt),
                    what,
                }),
        );
    }
    violations
}

/// Returns the number of violations of each side and framing.
pub fn counts(violations: &[Violation]) -> BTreeMap<(Side, Vec<Framing>), usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        let key = (violation.side, violation.framings.clone());
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Returns how often another engine went on within the answers of a stream.
pub fn resumed_within(stream: &Stream) -> usize {
    let changes = |attempt: &Attempt| runs(attempt).len().saturating_sub(1);
    stream.attempts.iter().map(changes).sum()
}

fn numbers_violation(attempt: &Attempt) -> Option<(Side, String)> {
    let events = attempt.events();
    let expected = attempt.after + 1..;
    let (expected, event) = expected
        .zip(&events)
        .find(|(expected, event)| event.number != *expected)?;
    let what = format!(
        "{event:?} in place of {expected}, resumed after {}",
        attempt.after
    );
    Some((Side::Numbers, what))
}

/// Checks that each engine was asked to go on where the one before it ended.
fn runs_violation(fleet: &Fleet, stream: &Stream, attempt: &Attempt) -> Option<(Side, String)> {
    let events = attempt.events();
    let mut engine = "";
    for event in &events {
        let after = event.number.saturating_sub(1);
        let is_other = event.engine != std::mem::replace(&mut engine, event.engine);
        if is_other && !is_asked_for(fleet, attempt, event, after) {
            let what = format!("{event:?} without a request for what follows {after}");
            return Some((Side::Runs, what));
        }
        if is_other && !stream.is_resumable && after > 0 {
            let what = format!("{event:?} of another run, which may not be resumed");
            return Some((Side::Runs, what));
        }
    }
    None
}

fn is_asked_for(fleet: &Fleet, attempt: &Attempt, event: &Event<'_>, after: u64) -> bool {
    let Some(incarnation) = fleet.incarnation(event.engine) else {
        return false;
    };
    let runs = incarnation.engine.runs_of(&attempt.id);
    runs.iter().any(|it| it.after == after)
}

fn versions_violation(fleet: &Fleet, stream: &Stream) -> Option<String> {
    let events = stream.attempts.iter().flat_map(Attempt::events);
    let incarnations = events.filter_map(|it| fleet.incarnation(it.engine));
    let versions: BTreeSet<u32> = incarnations.map(|it| it.version()).collect();
    let attempts: Vec<_> = stream
        .attempts
        .iter()
        .map(|it| (&it.id, it.after))
        .collect();
    (versions.len() > 1).then(|| format!("versions {versions:?} in {attempts:?}"))
}

fn end_violation(attempt: &Attempt) -> Option<(Side, String)> {
    if attempt.status != Some(200) || !attempt.is_complete {
        return None;
    }
    let last = attempt
        .events()
        .last()
        .map_or(attempt.after, |it| it.number);
    let is_whole = last == EVENTS && !attempt.is_torn();
    let runs = runs(attempt);
    (!is_whole).then(|| {
        (
            Side::End,
            format!("ended as whole after event {last}, {runs:?}"),
        )
    })
}

/// Returns the engines of an answer, each with its first event there.
fn runs(attempt: &Attempt) -> Vec<(String, u64)> {
    let mut runs: Vec<(String, u64)> = Vec::new();
    for event in attempt.events() {
        if runs.last().is_none_or(|(engine, _)| engine != event.engine) {
            runs.push((event.engine.to_owned(), event.number));
        }
    }
    runs
}

fn framings(fleet: &Fleet, attempt: &Attempt) -> Vec<Framing> {
    let runs = runs(attempt);
    let senders = runs
        .iter()
        .filter_map(|(engine, _)| fleet.incarnation(engine));
    let without_event = runs
        .is_empty()
        .then(|| fleet.incarnation_that_ran(&attempt.id));
    let engines = senders.chain(without_event.flatten());
    engines.map(|it| it.framing).collect()
}
