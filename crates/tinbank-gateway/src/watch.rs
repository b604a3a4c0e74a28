//! Abandons pending calls to the store after an outage.
//!
//! A store that was unresponsive does not answer calls sent during the outage, so each of them would wait for its own timeout,
//! long after the store has recovered. Instead, the first answer after an outage ends all calls that were sent before.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use tinbank_allocator::directory::Peer;
use tinbank_feed::source::FirstDelegate;
use tinbank_origin::history;
use tinbank_quarantine::{Fingerprint, Quarantined};
use tokio::sync::Notify;

use crate::{
    border::store::{
        Assignment, Cursor, Entries, Error, List, Membership, NewestPage, Offset, Page, Range,
        Store, TopicPartition,
    },
    clock::PauseDetector,
    retry::Retry,
};

/// How long calls have to fail without a success in between to count as an outage. Longer than the recovery from a lost
/// packet. Shorter than any outage that the platform describes.
const MIN_OUTAGE: Duration = Duration::from_millis(400);

/// Pending calls, numbered in the order in which they were sent.
#[derive(Debug, Default)]
pub struct PendingCalls {
    last_sent: Cell<u64>,
    failing_since: Cell<Option<Instant>>,
    /// Calls with a lower number are abandoned.
    first_after_outage: Cell<u64>,
    recovered: Notify,
}

impl PendingCalls {
    /// Makes a call, and abandons it with an unknown effect if a later call is answered first after an outage.
    pub async fn call<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let number = self.last_sent.get() + 1;
        self.last_sent.set(number);
        let mut call = pin!(call);
        loop {
            let recovered = self.recovered.notified();
            tokio::select! {
                outcome = &mut call => {
                    self.record_outcome(number, &outcome);
                    return outcome;
                }
                () = recovered => {}
            }
            if number < self.first_after_outage.get() {
                return Err(Error::Unknown(
                    "call abandoned, store answers later calls after an outage".to_owned(),
                ));
            }
        }
    }

    fn record_outcome<T>(&self, number: u64, outcome: &Result<T, Error>) {
        // A refusal is an answer, but does not show that the store has recovered.
        if let Err(Error::Busy(_)) = outcome {
            return;
        }
        if let Err(Error::Unknown(_) | Error::Disconnected(_) | Error::NoEffect(_)) = outcome {
            let since = self.failing_since.get();
            self.failing_since.set(since.or(Some(Instant::now())));
            return;
        }
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if since.elapsed() >= MIN_OUTAGE {
            log::info!(away_ms = since.elapsed().as_millis() as u64; "store answers again, abandoning calls sent before");
            self.first_after_outage.set(number);
            self.recovered.notify_waiters();
        }
    }
}

/// Makes a call whose result is discarded if the process was paused meanwhile.
pub async fn fail_if_paused<T>(
    clock: &PauseDetector,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let paused = || Error::Unknown("process was paused during the call".to_owned());
    clock.discard_if_paused(call).await.ok_or_else(paused)?
}

/// Store that abandons pending calls after an outage and discards results read across a pause.
pub(crate) struct WatchedStore {
    store: Rc<dyn Store>,
    pending: PendingCalls,
    retry: Rc<Retry>,
    clock: Rc<PauseDetector>,
}

impl WatchedStore {
    /// Wraps a store. A successful call ends the backoff of `retry`.
    pub fn new(store: Rc<dyn Store>, retry: Rc<Retry>, clock: Rc<PauseDetector>) -> Self {
        Self {
            store,
            pending: PendingCalls::default(),
            retry,
            clock,
        }
    }

    async fn call<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        let outcome = self.pending.call(call).await;
        if outcome.is_ok() {
            self.retry.record_success();
        }
        outcome
    }

    /// Makes a call whose result must be current.
    async fn read_call<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        fail_if_paused(&self.clock, self.call(call)).await
    }
}

#[async_trait(?Send)]
impl Store for WatchedStore {
    async fn append(
        &self,
        at: TopicPartition,
        records: &[Bytes],
        until: Instant,
    ) -> Result<Offset, Error> {
        self.call(self.store.append(at, records, until)).await
    }

    async fn read(&self, at: TopicPartition, range: Range, until: Instant) -> Result<Page, Error> {
        self.read_call(self.store.read(at, range, until)).await
    }

    async fn read_newest(
        &self,
        list: List,
        at: Option<&Cursor>,
        until: Instant,
    ) -> Result<NewestPage, Error> {
        self.read_call(self.store.read_newest(list, at, until))
            .await
    }

    async fn read_since(
        &self,
        list: List,
        from: Offset,
        wait_ms: u64,
        until: Instant,
    ) -> Result<Entries, Error> {
        let call = self.store.read_since(list, from, wait_ms, until);
        self.read_call(call).await
    }

    async fn register(&self, host: &Peer, until: Instant) -> Result<(), Error> {
        self.call(self.store.register(host, until)).await
    }

    async fn unregister(&self, host: &Peer, until: Instant) -> Result<(), Error> {
        self.call(self.store.unregister(host, until)).await
    }

    async fn register_first_delegate(
        &self,
        lead: &FirstDelegate,
        until: Instant,
    ) -> Result<(), Error> {
        self.call(self.store.register_first_delegate(lead, until))
            .await
    }

    async fn quarantine(&self, quarantined: &Quarantined, until: Instant) -> Result<(), Error> {
        self.call(self.store.quarantine(quarantined, until)).await
    }

    async fn lift_quarantine(&self, subject: Fingerprint, until: Instant) -> Result<(), Error> {
        self.call(self.store.lift_quarantine(subject, until)).await
    }

    async fn record_build(&self, change: &history::Change, until: Instant) -> Result<(), Error> {
        self.call(self.store.record_build(change, until)).await
    }

    async fn join(&self, membership: &Membership, until: Instant) -> Result<Assignment, Error> {
        self.read_call(self.store.join(membership, until)).await
    }

    async fn leave(&self, membership: &Membership, until: Instant) -> Result<(), Error> {
        self.call(self.store.leave(membership, until)).await
    }
}
