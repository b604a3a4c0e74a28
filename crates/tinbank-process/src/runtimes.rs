//! Runtimes of a process that runs inside another program, as in tests and demonstrations.

use std::future::Future;

use tinbank_server::threads::Handles;
use tokio::runtime::{Builder, Runtime};

use crate::Error;

/// A control thread and traffic threads of a process's own, so that it can be ended like a lost host.
#[derive(Debug, Default)]
pub struct Runtimes(Vec<Runtime>);

impl Runtimes {
    /// Starts the threads.
    ///
    /// # Errors
    /// The system gives no threads.
    pub fn start(traffic_threads: usize) -> Result<(Self, Handles), Error> {
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

/// Starts a process on its control thread, wherever it is asked for.
///
/// # Errors
/// Those of `start`, or that the control thread has ended.
pub async fn on_control<T, F>(
    handles: Handles,
    start: impl FnOnce(Handles) -> F,
) -> Result<T, Error>
where
    T: Send + 'static,
    F: Future<Output = Result<T, Error>> + Send + 'static,
{
    let control = handles.control.clone();
    let started = control.spawn(start(handles));
    started
        .await
        .map_err(|error| Error::Run(error.to_string()))?
}

fn runtime(threads: usize, name: &'static str) -> Result<Runtime, Error> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(|error| Error::Run(error.to_string()))
}
