//! Notes the events of one process.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::SystemTime,
};

use tinbank_base::{
    clock::{self, Hybrid, Stamp},
    event::{Event, Kind, Subject},
    id,
};

use crate::{page::Page, query::Query, ring::Ring};

/// Events that a process keeps when its settings name no number: about 3 MB.
pub const DEFAULT_CAPACITY: usize = 16_384;

/// Reads the wall clock; tests give another one.
pub type Clock = Arc<dyn Fn() -> SystemTime + Send + Sync>;

/// The time line of one process. Clones note into the same ring.
///
/// It is the edge that reads the wall clock for the hybrid logical clock: decisions only name what happened.
#[derive(Clone)]
pub struct Recorder {
    inner: Arc<Inner>,
}

struct Inner {
    process: id::Process,
    incarnation: id::Incarnation,
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    hybrid: Hybrid,
    ring: Ring,
}

impl Recorder {
    /// A recorder on the system's wall clock that keeps the newest `capacity` events (at least one).
    pub fn new(process: id::Process, capacity: usize) -> Self {
        Self::with_clock(process, capacity, Arc::new(SystemTime::now))
    }

    /// A recorder on another clock.
    pub fn with_clock(process: id::Process, capacity: usize, clock: Clock) -> Self {
        let incarnation = clock::incarnation(clock());
        let state = State {
            hybrid: Hybrid::default(),
            ring: Ring::new(capacity),
        };
        let inner = Inner {
            process,
            incarnation,
            clock,
            state: Mutex::new(state),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The same recorder for a process that knows its start number already. Call it before anything is noted.
    pub fn with_incarnation(self, incarnation: id::Incarnation) -> Self {
        let state = State {
            hybrid: Hybrid::default(),
            ring: Ring::new(self.state().ring.capacity()),
        };
        let inner = Inner {
            process: self.inner.process,
            incarnation,
            clock: Arc::clone(&self.inner.clock),
            state: Mutex::new(state),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Whose events these are.
    pub fn process(&self) -> id::Process {
        self.inner.process
    }

    /// Which start of the process.
    pub fn incarnation(&self) -> id::Incarnation {
        self.inner.incarnation
    }

    /// Notes that something happened now, and returns when that was.
    pub fn note(&self, subject: Subject, kind: Kind) -> Stamp {
        let now = (self.inner.clock)();
        let mut state = self.state();
        let stamp = state.hybrid.tick(now);
        let dropped = state.ring.push(Event {
            stamp,
            process: self.inner.process,
            subject,
            kind,
        });
        drop(state);
        drop(dropped);
        stamp
    }

    /// A stamp for a message about to be sent: whoever observes it comes after all that was noted here.
    pub fn stamp(&self) -> Stamp {
        let now = (self.inner.clock)();
        self.state().hybrid.tick(now)
    }

    /// Takes in the stamp of a received message: all that is noted here from now on comes after it.
    pub fn observe(&self, seen: Stamp) {
        let now = (self.inner.clock)();
        self.state().hybrid.observe(seen, now);
    }

    /// The events that match.
    pub fn page(&self, query: &Query) -> Page {
        let state = self.state();
        let found = state.ring.find(query);
        Page {
            process: self.inner.process,
            incarnation: self.inner.incarnation,
            lost: found.lost,
            oldest: state.ring.oldest().map(|event| event.stamp),
            next: found.next,
            events: found.events,
        }
    }

    /// The events at or after a time.
    pub fn since(&self, since: SystemTime) -> Page {
        self.page(&Query {
            since: Some(since),
            ..Query::default()
        })
    }

    /// A thread that panicked in here can't have left the ring half written, so its poison is ignored.
    fn state(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Recorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Recorder")
            .field("process", &self.inner.process)
            .field("incarnation", &self.inner.incarnation)
            .finish_non_exhaustive()
    }
}
