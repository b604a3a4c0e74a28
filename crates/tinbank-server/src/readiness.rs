//! Whether a process may get new work from the balancer.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It doesn't have the configuration yet.
    Starting,
    /// It serves.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// The state, shared by all parts of a process. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Flag(Arc<AtomicU8>);

const STARTING: u8 = 0;
const READY: u8 = 1;
const LEAVING: u8 = 2;

impl Flag {
    /// A flag of a process that is starting.
    pub fn new() -> Self {
        Self::default()
    }

    /// The process can serve. A process that leaves stays leaving.
    pub fn ready(&self) {
        // The only transition to ready is from starting, so that a late start can't undo a stop.
        let _ = self
            .0
            .compare_exchange(STARTING, READY, Ordering::AcqRel, Ordering::Acquire);
    }

    /// The process takes nothing new from now on.
    pub fn leave(&self) {
        self.0.store(LEAVING, Ordering::Release);
    }

    /// How far the process is.
    pub fn state(&self) -> State {
        match self.0.load(Ordering::Acquire) {
            STARTING => State::Starting,
            READY => State::Ready,
            _ => State::Leaving,
        }
    }

    /// Whether new work is taken.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Ready
    }
}
