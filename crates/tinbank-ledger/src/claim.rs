//! Idempotency claims of online requests, which run at most once. See `docs/design/claims.md`.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tinbank_base::{
    clock,
    frame::request::Claimed,
    outcome::{Code, Ran},
    record::{
        Writer,
        claim::{Claim, Key, Settled, Stored},
    },
};

/// Claims of a shard, folded from its records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    entries: BTreeMap<Key, Entry>,
    open: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    claim: Claim,
    answer: Option<Result<Bytes, Stored>>,
}

impl Claims {
    /// Returns the state of a claim, or `None` if the key is free: the claim must then be appended and read back
    /// before the request may run.
    pub fn status(&self, claim: &Claim) -> Option<Claimed> {
        let entry = self.entries.get(&claim.key)?;
        if entry.claim.body != claim.body {
            return Some(Claimed::OtherBody {
                first: entry.claim.body,
            });
        }
        let same = entry.claim.claimer == claim.claimer && entry.claim.request == claim.request;
        Some(match &entry.answer {
            Some(Err(stored)) if stored.code == Code::OutcomeUnknown => Claimed::Unknown,
            Some(answer) => Claimed::Settled(answer.clone()),
            None if same => Claimed::Won,
            None => Claimed::Running,
        })
    }

    /// Returns whether a settlement that was read back is the one that took effect.
    pub fn settled(&self, settled: &Settled) -> bool {
        let entry = self.entries.get(&settled.key);
        match entry.filter(|entry| entry.is_settled_by(settled)) {
            Some(entry) => entry.answer.as_ref() == Some(&settled.answer),
            None => not_run(settled),
        }
    }

    /// Returns whether a decoded value is one that the fold can produce.
    pub(crate) fn is_consistent(&self) -> bool {
        let open = self.entries.values().filter(|entry| entry.answer.is_none());
        open.count() == self.open
    }

    /// Returns whether any claim is open.
    pub fn live(&self) -> bool {
        self.open > 0
    }

    /// Returns settlements to append for open claims whose claimer is gone, or whose deadline passed more than `grace`
    /// ago.
    ///
    /// The order of records in the log decides: if the claimer's own settlement comes first, it takes effect.
    pub fn overdue(
        &self,
        wall: SystemTime,
        grace: Duration,
        gone: impl Fn(Writer) -> bool,
    ) -> Vec<Settled> {
        if self.open == 0 {
            return Vec::new();
        }
        let open = self.entries.values().filter(|entry| entry.answer.is_none());
        open.filter(|entry| entry.claim.deadline + grace < wall || gone(entry.claim.claimer))
            .map(|entry| outcome_unknown(&entry.claim))
            .collect()
    }

    /// Applies a claim. Returns whether it is the first for its key.
    pub(crate) fn apply_claim(&mut self, claim: &Claim) -> bool {
        if self.entries.contains_key(&claim.key) {
            return false;
        }
        let entry = Entry {
            claim: claim.clone(),
            answer: None,
        };
        self.entries.insert(claim.key, entry);
        self.open += 1;
        true
    }

    /// Applies a settlement. Returns whether it is the first one by the claim's own claimer and request.
    pub(crate) fn apply_settled(&mut self, settled: &Settled) -> bool {
        let Some(entry) = self.entries.get_mut(&settled.key) else {
            return false;
        };
        if !entry.is_settled_by(settled) || entry.answer.is_some() {
            return false;
        }
        if not_run(settled) {
            self.entries.remove(&settled.key);
        } else {
            entry.answer = Some(settled.answer.clone());
        }
        self.open -= 1;
        true
    }

    /// Removes settled claims that have expired at log time `micros`.
    pub(crate) fn remove_expired(&mut self, micros: u64) {
        self.entries.retain(|_, entry| {
            entry.answer.is_none() || clock::micros(entry.claim.keep_until) >= micros
        });
    }
}

impl Entry {
    fn is_settled_by(&self, settled: &Settled) -> bool {
        self.claim.claimer == settled.claimer && self.claim.request == settled.request
    }
}

fn not_run(settled: &Settled) -> bool {
    matches!(&settled.answer, Err(stored) if stored.ran == Ran::No)
}

fn outcome_unknown(claim: &Claim) -> Settled {
    Settled {
        key: claim.key,
        claimer: claim.claimer,
        request: claim.request,
        answer: Err(Stored {
            code: Code::OutcomeUnknown,
            ran: Ran::Unknown,
            message: "the process that sent the request is gone".into(),
        }),
    }
}
