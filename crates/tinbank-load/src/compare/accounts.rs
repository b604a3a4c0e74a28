//! What the engines did, from their own accounts. Pure.

use std::collections::HashMap;

use tinbank_standin::account::{End, Run};

/// Work of the engines for batch items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens that were made.
    pub tokens: u64,
    /// Of these, tokens of no use: made again elsewhere, or of answers that never ended.
    pub wasted: u64,
    /// Items that ran to their end at least once.
    pub completed: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Runs beyond the first that went to their end.
    pub reruns: u64,
}

impl Work {
    /// Adds up the runs whose reference begins with `prefix`.
    pub fn of<'a>(runs: impl Iterator<Item = &'a Run>, prefix: &str) -> Self {
        let mut work = Self::default();
        let mut answers: HashMap<&str, u32> = HashMap::new();
        for run in runs {
            let Some(reference) = run.reference.as_deref() else {
                continue;
            };
            if !reference.starts_with(prefix) {
                continue;
            }
            work.tokens += u64::from(run.tokens);
            match run.end {
                End::Completed => {
                    let length = run.resumed_from + run.tokens;
                    let again = answers.insert(reference, length).is_some();
                    work.reruns += u64::from(again);
                }
                End::Cancelled => work.cancelled += 1,
                End::Running | End::Failed => {}
            }
        }
        let useful: u64 = answers.values().map(|tokens| u64::from(*tokens)).sum();
        work.completed = answers.len() as u64;
        work.wasted = work.tokens.saturating_sub(useful);
        work
    }
}
