//! Runtimes of a process that runs inside another program, as in tests and demonstrations.

use std::io;

use tinbank_server::threads::Handles;
use tokio::runtime::{Builder, Runtime};

/// A control thread and traffic threads of a process's own, so that it can be ended like a lost host.
#[derive(Debug, Default)]
pub struct Runtimes(Vec<Runtime>);

impl Runtimes {
    /// Starts the threads.
    ///
    /// # Errors
    /// The system gives no threads.
    pub fn start(traffic_threads: usize) -> io::Result<(Self, Handles)> {
        let traffic = runtime(traffic_threads, "traffic")?;
        let control = runtime(1, "control")?;
        let handles = Handles {
            control: control.handle().clone(),
            traffic: traffic.handle().clone(),
        };
        Ok((Self(vec![traffic, control]), handles))
    }

    /// Ends what runs on them without waiting.
    pub fn end(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        for runtime in self.0.drain(..) {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Runtimes {
    /// A runtime must not be dropped where blocking is not allowed.
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn runtime(threads: usize, name: &'static str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}
