//! The bound on what waits for the log, over all streams.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use super::Error;

/// Counts the bytes that wait or are in flight. Clones share the count.
#[derive(Clone)]
pub(super) struct Buffer {
    buffered: Arc<AtomicUsize>,
    limit: usize,
}

/// Bytes taken from the buffer, given back when dropped.
pub(super) struct Room {
    buffered: Arc<AtomicUsize>,
    bytes: usize,
}

impl Buffer {
    /// An empty buffer that holds at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            buffered: Arc::default(),
            limit,
        }
    }

    /// Takes room for so many bytes, or tells how full the buffer is.
    pub fn take(&self, bytes: usize) -> Result<Room, Error> {
        let limit = self.limit;
        let taken = self
            .buffered
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |buffered| {
                Some(buffered + bytes).filter(|buffered| *buffered <= limit)
            });
        match taken {
            Ok(_) => Ok(Room {
                buffered: self.buffered.clone(),
                bytes,
            }),
            Err(buffered) => {
                metrics::counter!("tinbank_log_appends_refused_total").increment(1);
                Err(Error::Full { buffered, limit })
            }
        }
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.buffered.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
