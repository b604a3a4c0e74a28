//! Counts what became of each request and item: pure, from results and accounts.

use std::collections::HashMap;

use serde::Serialize;
use tinbank_standin::account::{End, Run};

/// What was asked for, and what has to come of it.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    asked: HashMap<String, Asked>,
    unasked: u64,
}

#[derive(Clone, Debug)]
struct Asked {
    expected: String,
    answers: u64,
    failures: u64,
    wrong: u64,
    completed_runs: u64,
}

/// The counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All that was accepted.
    pub accepted: u64,
    /// With one right answer, and run to its end once by an upstream.
    pub once: u64,
    /// Without an answer.
    pub lost: u64,
    /// With more than one answer, or run to its end more than once.
    pub doubled: u64,
    /// Ended as failed.
    pub failed: u64,
    /// With an answer that is not its own.
    pub wrong: u64,
    /// Answers to what was never asked.
    pub unasked: u64,
}

impl Tally {
    /// Notes that something was accepted, and the text that its answer has to have.
    pub fn accepted(&mut self, reference: String, expected: String) {
        let asked = Asked {
            expected,
            answers: 0,
            failures: 0,
            wrong: 0,
            completed_runs: 0,
        };
        self.asked.insert(reference, asked);
    }

    /// Notes an answer that was read.
    pub fn answered(&mut self, reference: &str, text: &str) {
        let Some(asked) = self.asked.get_mut(reference) else {
            self.unasked += 1;
            return;
        };
        asked.answers += 1;
        asked.wrong += u64::from(asked.expected != text);
    }

    /// Notes an end without an answer.
    pub fn failed(&mut self, reference: &str) {
        match self.asked.get_mut(reference) {
            Some(asked) => asked.failures += 1,
            None => self.unasked += 1,
        }
    }

    /// Notes what an upstream ran. Runs that were cancelled, such as those that gave way, don't count.
    pub fn ran(&mut self, run: &Run) {
        if run.end != End::Completed {
            return;
        }
        let reference = run.reference.as_deref().unwrap_or_default();
        if let Some(asked) = self.asked.get_mut(reference) {
            asked.completed_runs += 1;
        }
    }

    /// How many got more than one answer: what a caller would see as doubled, however often it ran.
    pub fn answered_twice(&self) -> u64 {
        let twice = self
            .asked
            .values()
            .filter(|asked| asked.answers + asked.failures > 1);
        twice.count() as u64
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            unasked: self.unasked,
            ..Counts::default()
        };
        for asked in self.asked.values() {
            counts.add(asked);
        }
        counts
    }
}

impl Counts {
    /// Whether everything was done once and rightly.
    pub fn clean(&self) -> bool {
        self.accepted > 0 && self.once == self.accepted && self.unasked == 0
    }

    fn add(&mut self, asked: &Asked) {
        self.accepted += 1;
        let ends = asked.answers + asked.failures;
        if ends == 0 {
            self.lost += 1;
        } else if ends > 1 || asked.completed_runs > 1 {
            self.doubled += 1;
        } else if asked.failures > 0 {
            self.failed += 1;
        } else if asked.wrong > 0 || asked.completed_runs == 0 {
            // An answer that no upstream gave is as wrong as another's.
            self.wrong += 1;
        } else {
            self.once += 1;
        }
    }
}
