//! Freezes a runtime, as when a host is paused: its timers and sockets stand still, its connections stay open, and it
//! does not know of it when it goes on.

use std::sync::{Arc, Condvar, Mutex, PoisonError};

use tokio::runtime::Handle;

/// A frozen set of runtimes; they go on when it is dropped.
#[derive(Debug)]
pub struct Frozen {
    gate: Arc<Gate>,
}

#[derive(Debug, Default)]
struct Gate {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    open: bool,
}

impl Frozen {
    /// Holds up every worker thread of the runtimes, and returns when all stand still.
    pub fn new(runtimes: &[Handle]) -> Self {
        let gate = Arc::new(Gate::default());
        let workers = runtimes
            .iter()
            .map(|runtime| hold(runtime, &gate))
            .sum::<usize>();
        let state = gate.lock();
        let all_held = gate.changed.wait_while(state, |state| state.held < workers);
        drop(all_held.unwrap_or_else(PoisonError::into_inner));
        Self { gate }
    }
}

impl Drop for Frozen {
    fn drop(&mut self) {
        self.gate.lock().open = true;
        self.gate.changed.notify_all();
    }
}

/// One task for each worker thread; a task that blocks takes its worker from all others.
fn hold(runtime: &Handle, gate: &Arc<Gate>) -> usize {
    let workers = runtime.metrics().num_workers();
    for _ in 0..workers {
        let gate = gate.clone();
        runtime.spawn(async move { gate.wait() });
    }
    workers
}

impl Gate {
    fn wait(&self) {
        let mut state = self.lock();
        state.held += 1;
        self.changed.notify_all();
        let opened = self.changed.wait_while(state, |state| !state.open);
        drop(opened.unwrap_or_else(PoisonError::into_inner));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
