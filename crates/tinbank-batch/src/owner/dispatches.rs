//! Dispatches of non-repeatable items, which have to be in the log before the item is sent.

use std::collections::BTreeMap;

use tinbank_base::{id, record::work::Dispatch};
use tokio::sync::oneshot;

use crate::runner::task::{Key, Permit};

/// Requested dispatches of one shard.
#[derive(Debug, Default)]
pub(super) struct Dispatches {
    pending: BTreeMap<Key, PendingDispatch>,
    /// Whether an append is in flight.
    sending: bool,
}

#[derive(Debug)]
struct PendingDispatch {
    reply: oneshot::Sender<Permit>,
    /// Whether the record is being appended or may be in the log.
    appended: bool,
}

impl Dispatches {
    pub(super) fn request(&mut self, key: Key, reply: oneshot::Sender<Permit>) {
        let pending = PendingDispatch {
            reply,
            appended: false,
        };
        self.pending.insert(key, pending);
    }

    /// Returns the dispatches to append now, unless an append is in flight.
    pub(super) fn next_batch(&mut self) -> Option<(Vec<Dispatch>, Vec<Key>)> {
        if self.sending {
            return None;
        }
        let open = self
            .pending
            .iter_mut()
            .filter(|(_, pending)| !pending.appended);
        let keys: Vec<Key> = open
            .map(|(key, pending)| {
                pending.appended = true;
                *key
            })
            .collect();
        if keys.is_empty() {
            return None;
        }
        self.sending = true;
        Some((records(&keys), keys))
    }

    /// Records the end of the append. Dispatches that were certainly not appended are denied until later. Those that may be
    /// in the log are appended again in the same term until read back, which is harmless.
    pub(super) fn on_appended(&mut self, keys: &[Key], appended: bool, may_stand: bool) {
        self.sending = false;
        for key in keys {
            if appended {
                continue;
            }
            if may_stand {
                if let Some(pending) = self.pending.get_mut(key) {
                    pending.appended = false;
                }
            } else {
                self.answer(*key, Permit::Later);
            }
        }
    }

    pub(super) fn answer(&mut self, key: Key, permit: Permit) {
        if let Some(pending) = self.pending.remove(&key) {
            // The attempt may have been stopped and dropped the receiver.
            let _ = pending.reply.send(permit);
        }
    }

    /// Returns the items whose dispatch has not been read back.
    pub(super) fn keys(&self) -> Vec<Key> {
        self.pending.keys().copied().collect()
    }

    /// Denies all dispatches because the lease was lost.
    pub(super) fn drop_all(&mut self) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            // The attempt may have been stopped and dropped the receiver.
            let _ = pending.reply.send(Permit::Never);
        }
    }
}

fn records(keys: &[Key]) -> Vec<Dispatch> {
    let mut records: BTreeMap<(id::Job, id::Chunk, id::Epoch), Vec<id::Item>> = BTreeMap::new();
    for key in keys {
        let place = (key.job, key.chunk, key.epoch);
        records.entry(place).or_default().push(key.item);
    }
    let records = records.into_iter();
    records
        .map(|((job, chunk, epoch), items)| Dispatch {
            job,
            chunk,
            epoch,
            items,
        })
        .collect()
}
