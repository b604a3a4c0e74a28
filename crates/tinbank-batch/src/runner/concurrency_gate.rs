//! A gate that limits the concurrent batch requests of this process in each upstream.

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tinbank_admission::{Gate, Pass};
use tinbank_base::id;
use tokio::sync::watch;

/// A gate with a fixed limit for each upstream. Clones share their counts.
#[derive(Clone)]
pub struct ConcurrencyGate {
    limit: u32,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    inside: Mutex<HashMap<id::Upstream, u32>>,
}

struct Guard {
    upstream: id::Upstream,
    shared: Arc<Shared>,
    /// Keeps the channel open, so that the pass never appears withdrawn.
    _open: watch::Sender<bool>,
}

impl ConcurrencyGate {
    /// Creates a gate that admits `limit` concurrent requests to each upstream.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            shared: Arc::default(),
        }
    }
}

impl ConcurrencyGate {
    /// Admits a request if fewer than `limit` are in the upstream.
    pub(super) fn try_enter(&self, upstream: id::Upstream, limit: u32) -> Option<Pass> {
        let mut inside = self.shared.lock();
        let count = inside.entry(upstream).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        let (open, withdrawn) = watch::channel(false);
        let guard = Guard {
            upstream,
            shared: self.shared.clone(),
            _open: open,
        };
        Some(Pass {
            upstream,
            withdrawn,
            guard: Box::new(guard),
        })
    }
}

impl Gate for ConcurrencyGate {
    fn enter(&self, upstream: id::Upstream, _customer: &str, _now: Instant) -> Option<Pass> {
        self.try_enter(upstream, self.limit)
    }

    fn request_credits(&self, _: id::Upstream, _: &str, _: u16, _: Instant, _: Instant) {}
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, HashMap<id::Upstream, u32>> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut inside = self.shared.lock();
        if let Some(count) = inside.get_mut(&self.upstream) {
            *count -= 1;
            if *count == 0 {
                inside.remove(&self.upstream);
            }
        }
    }
}

impl fmt::Debug for ConcurrencyGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConcurrencyGate")
            .field("limit", &self.limit)
            .field("inside", &*self.shared.lock())
            .finish()
    }
}
