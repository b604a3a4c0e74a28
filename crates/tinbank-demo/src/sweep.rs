//! The sweep: lots of items handed in through the HTTP interface, followed and read back.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    balancer::Balancer,
    caller::{Caller, Outcome},
    example::Example,
    run::{Progress, expected, with_reference},
    tally::Tally,
};

/// Time between two looks at a lot.
const LOOK: Duration = Duration::from_millis(150);
/// Tries of handing in a lot; all carry one idempotency key.
const TRIES: usize = 100;

/// How the sweep went.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Rate {
    /// Lots that were handed in.
    pub jobs: usize,
    /// Items that ended with an answer.
    pub items: u64,
    /// Time from the first lot to the end of the last, in seconds.
    pub seconds: f64,
    /// Items a second.
    pub items_per_second: f64,
}

/// A sweep that goes on till told to hand in no more, and then till its lots have ended.
pub struct Sweep {
    /// Its name, which sets its keys and items apart from those of other sweeps.
    pub name: String,
    /// Items in a lot.
    pub lot: usize,
    /// Lots that are open at once.
    pub open: usize,
    /// What runs.
    pub example: Arc<Example>,
    /// Where lots are handed in and read, in turn: one host takes a lot, another is asked for it.
    pub hosts: Balancer,
    /// Where all is counted.
    pub tally: Arc<Mutex<Tally>>,
    /// Where it is shown.
    pub progress: Progress,
}

struct Lot {
    id: String,
    number: usize,
}

impl Sweep {
    /// Hands in lots till `until`, then waits for the open ones till `latest`.
    pub async fn run(self, until: Instant, latest: Instant) -> Rate {
        let caller = Caller::new(&self.example.deployment.key);
        let begun = Instant::now();
        let mut open = VecDeque::new();
        let mut number = 0;
        let mut items = 0;
        loop {
            let wanted = Instant::now() < until && open.len() < self.open;
            if wanted {
                open.extend(self.hand_in(&caller, number, latest).await);
                number += 1;
                continue;
            }
            let Some(lot) = open.pop_front() else {
                break;
            };
            match self.look(&caller, &lot).await {
                Some(answered) => items += answered,
                None if Instant::now() >= latest => self.give_up(&lot),
                None => {
                    open.push_back(lot);
                    tokio::time::sleep(LOOK / self.open as u32).await;
                }
            }
        }
        let seconds = begun.elapsed().as_secs_f64();
        Rate {
            jobs: number,
            items,
            seconds,
            items_per_second: items as f64 / seconds.max(f64::MIN_POSITIVE),
        }
    }

    async fn hand_in(&self, caller: &Caller, number: usize, latest: Instant) -> Option<Lot> {
        let mut body = String::new();
        let mut references = Vec::new();
        for place in number * self.lot..(number + 1) * self.lot {
            let item = &self.example.items[place % self.example.items.len()];
            let reference = format!("{}-{}-{place}", self.name, item.custom_id);
            let request = with_reference(&item.body, &reference);
            references.push((reference.clone(), expected(&request)));
            let line = json!({ "custom_id": reference, "body": request });
            body.push_str(&line.to_string());
            body.push('\n');
        }
        let key = format!("{}-{number}", self.name);
        for attempt in 0..TRIES {
            let host = self.hosts.at(number + attempt);
            let submit = caller.submit(host, &self.example.service, &key, body.clone());
            let Ok(taken) = tokio::time::timeout_at(latest, submit).await else {
                break;
            };
            match taken {
                Ok(job) => {
                    let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
                    references
                        .into_iter()
                        .for_each(|(name, text)| tally.accepted(name, text));
                    return Some(Lot { id: job.id, number });
                }
                Err(error) => self.progress.note(&format!("lot {number}: {error}")),
            }
            tokio::time::sleep(LOOK).await;
        }
        None
    }

    /// Looks at a lot through another host than took it; counts its results when it has ended.
    async fn look(&self, caller: &Caller, lot: &Lot) -> Option<u64> {
        let host = self.hosts.at(lot.number + 1);
        let job = match caller.job(host, &lot.id).await {
            Ok(job) => job,
            Err(error) => {
                self.progress.note(&format!("lot {}: {error}", lot.number));
                return None;
            }
        };
        if job.state != "completed" {
            return None;
        }
        let host = self.hosts.at(lot.number + 2);
        match caller.results(host, &lot.id).await {
            Ok(outcomes) => Some(self.count(&outcomes)),
            Err(error) => {
                self.progress
                    .note(&format!("results of lot {}: {error}", lot.number));
                None
            }
        }
    }

    fn count(&self, outcomes: &[Outcome]) -> u64 {
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        let mut answered = 0;
        for outcome in outcomes {
            match outcome.response.as_ref().and_then(text) {
                Some(text) if outcome.state == "answered" => {
                    tally.answered(&outcome.custom_id, text);
                    answered += 1;
                }
                _ => tally.failed(&outcome.custom_id),
            }
        }
        self.progress.items(answered);
        answered
    }

    /// Its items stay without an answer and are counted as lost.
    fn give_up(&self, lot: &Lot) {
        self.progress
            .note(&format!("lot {} has not ended in time", lot.number));
    }
}

/// The text of a chat completion.
fn text(response: &Value) -> Option<&str> {
    response.pointer("/choices/0/message/content")?.as_str()
}
