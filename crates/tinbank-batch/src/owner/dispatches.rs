//! Items that may not be repeated, on their way to be dispatched in the log before they are sent.

use std::collections::BTreeMap;

use tinbank_base::{id, record::work::Dispatch};
use tokio::sync::oneshot;

use crate::runner::task::{Key, Permit};

/// Asked dispatches of one shard.
#[derive(Debug, Default)]
pub(super) struct Dispatches {
    asked: BTreeMap<Key, Asked>,
    /// Whether an append is under way.
    sending: bool,
}

#[derive(Debug)]
struct Asked {
    reply: oneshot::Sender<Permit>,
    /// Whether its record is on the way or may stand in the log.
    appended: bool,
}

impl Dispatches {
    pub(super) fn ask(&mut self, key: Key, reply: oneshot::Sender<Permit>) {
        let asked = Asked {
            reply,
            appended: false,
        };
        self.asked.insert(key, asked);
    }

    /// What to append now, if anything, and if no append is under way.
    pub(super) fn take(&mut self) -> Option<(Vec<Dispatch>, Vec<Key>)> {
        if self.sending {
            return None;
        }
        let open = self.asked.iter_mut().filter(|(_, asked)| !asked.appended);
        let keys: Vec<Key> = open
            .map(|(key, asked)| {
                asked.appended = true;
                *key
            })
            .collect();
        if keys.is_empty() {
            return None;
        }
        self.sending = true;
        Some((records(&keys), keys))
    }

    /// The append has ended. What was provably not appended is tried later; what may stand in the log is appended
    /// again in the same term, which is harmless, until it is read back.
    pub(super) fn done(&mut self, keys: &[Key], appended: bool, may_stand: bool) {
        self.sending = false;
        for key in keys {
            if appended {
                continue;
            }
            if may_stand {
                if let Some(asked) = self.asked.get_mut(key) {
                    asked.appended = false;
                }
            } else {
                self.answer(*key, Permit::Later);
            }
        }
    }

    pub(super) fn answer(&mut self, key: Key, permit: Permit) {
        if let Some(asked) = self.asked.remove(&key) {
            // The attempt may have been stopped meanwhile.
            let _ = asked.reply.send(permit);
        }
    }

    /// Keys that wait for a readback.
    pub(super) fn keys(&self) -> Vec<Key> {
        self.asked.keys().copied().collect()
    }

    /// The lease is gone: nothing may be sent any more.
    pub(super) fn drop_all(&mut self) {
        for (_, asked) in std::mem::take(&mut self.asked) {
            // The attempt may have been stopped meanwhile.
            let _ = asked.reply.send(Permit::Never);
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
