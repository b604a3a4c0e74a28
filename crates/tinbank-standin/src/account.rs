//! What a service ran, as it saw it itself.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It goes on.
    Running,
    /// It ran to its end.
    Completed,
    /// It was cancelled by a call, or because its connection broke.
    Cancelled,
    /// The service failed it or died in its midst.
    Failed,
}

/// One call that took effect.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The header `X-Request-Id`.
    pub request: Option<String>,
    /// The field `reference` of the body.
    pub reference: Option<String>,
    /// Digest of what was asked, without the fields that differ between attempts.
    #[serde_as(as = "DisplayFromStr")]
    pub prompt: u64,
    /// First token that this run was asked for.
    pub resumed_from: u32,
    /// Tokens that it made.
    pub tokens: u32,
    /// How it ended.
    pub end: End,
}

/// Account of one service; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Account {
    runs: Arc<Mutex<Vec<Run>>>,
}

/// Place of a run in its account.
pub(crate) type Index = usize;

impl Account {
    /// Everything that ran, in order of beginning.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// How many runs went to their end with this reference in the body.
    pub fn completed(&self, reference: &str) -> usize {
        let runs = self.lock();
        let matching = runs
            .iter()
            .filter(|run| run.end == End::Completed && run.reference.as_deref() == Some(reference));
        matching.count()
    }

    pub(crate) fn begin(&self, run: Run) -> Index {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    pub(crate) fn token(&self, index: Index) {
        self.lock()[index].tokens += 1;
    }

    pub(crate) fn end(&self, index: Index, end: End) {
        self.lock()[index].end = end;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
