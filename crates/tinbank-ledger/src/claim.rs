//! Claims of online requests that run at most once. See `docs/design/claims.md`.

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

/// The fold of a shard's claims.
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
    /// What the log says of a claim; `None`: the key is free, so the claim has to be appended and read back first.
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

    /// Whether a settlement is the one that counts, asked after it was read back.
    pub fn settled(&self, settled: &Settled) -> bool {
        let entry = self.entries.get(&settled.key);
        match entry.filter(|entry| entry.is_of(settled)) {
            Some(entry) => entry.answer.as_ref() == Some(&settled.answer),
            None => not_run(settled),
        }
    }

    /// Whether a decoded value is one that the fold could have made.
    pub(crate) fn sound(&self) -> bool {
        let open = self.entries.values().filter(|entry| entry.answer.is_none());
        open.count() == self.open
    }

    /// Whether any claim is open.
    pub fn live(&self) -> bool {
        self.open > 0
    }

    /// Settlements to append for open claims whose claimer is known to be gone, or whose deadline is past by more
    /// than `grace`. The record decides, not this clock: if the claimer's own settlement comes first, it counts.
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
            .map(|entry| unknown(&entry.claim))
            .collect()
    }

    /// Takes in a claim; `true` if it is the first for its key.
    pub(crate) fn claim(&mut self, claim: &Claim) -> bool {
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

    /// Takes in a settlement; `true` if it is the first of the claim's own.
    pub(crate) fn settle(&mut self, settled: &Settled) -> bool {
        let Some(entry) = self.entries.get_mut(&settled.key) else {
            return false;
        };
        if !entry.is_of(settled) || entry.answer.is_some() {
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

    /// Forgets settled claims whose time is over at log time `micros`.
    pub(crate) fn forget(&mut self, micros: u64) {
        self.entries.retain(|_, entry| {
            entry.answer.is_none() || clock::micros(entry.claim.keep_until) >= micros
        });
    }
}

impl Entry {
    fn is_of(&self, settled: &Settled) -> bool {
        self.claim.claimer == settled.claimer && self.claim.request == settled.request
    }
}

fn not_run(settled: &Settled) -> bool {
    matches!(&settled.answer, Err(stored) if stored.ran == Ran::No)
}

fn unknown(claim: &Claim) -> Settled {
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
