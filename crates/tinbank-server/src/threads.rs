//! One thread for control state and others for traffic.
//!
//! State machines live on the control thread, which no burst of traffic can hold up; traffic threads read immutable
//! snapshots and send messages. See `docs/architecture.md`.

use std::{future::Future, io, thread};

use tokio::{
    runtime::{Builder, Handle, Runtime},
    sync::oneshot,
};

/// The runtimes of a process.
#[derive(Debug)]
pub struct Threads {
    traffic: Runtime,
    control: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Handles to the runtimes; cheap to clone.
#[derive(Clone, Debug)]
pub struct Handles {
    /// Where state machines are driven: one thread.
    pub control: Handle,
    /// Where requests are served.
    pub traffic: Handle,
}

impl Handles {
    /// Both on the runtime that we are in, for tests and for many servers in one process.
    pub fn current() -> Self {
        Self {
            control: Handle::current(),
            traffic: Handle::current(),
        }
    }
}

impl Threads {
    /// Starts the control thread and the traffic threads.
    ///
    /// # Errors
    /// The system gives no threads.
    pub fn start(traffic_threads: usize) -> io::Result<Self> {
        let traffic = Builder::new_multi_thread()
            .worker_threads(traffic_threads.max(1))
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let control = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                // An error means that the sender is gone, which is a stop as well.
                let _ = runtime.block_on(stopped);
            })?;
        Ok(Self {
            traffic,
            control,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Handles for spawning.
    pub fn handles(&self) -> Handles {
        Handles {
            control: self.control.clone(),
            traffic: self.traffic.handle().clone(),
        }
    }

    /// Runs the process's main future on the traffic threads until it ends.
    pub fn run<F: Future>(&self, main: F) -> F::Output {
        self.traffic.block_on(main)
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // An error means that the thread is gone already.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the control thread panicked");
        }
    }
}
