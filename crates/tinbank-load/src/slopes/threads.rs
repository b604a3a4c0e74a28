//! Processor time of the process's threads, by their names, as the kernel counts it.

use std::{fs, io, time::Duration};

/// Processor time of the threads of one server, which are named alike in every process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spent {
    pub(super) control: Duration,
    pub(super) traffic: Duration,
}

impl Spent {
    /// Time up to now of threads that live.
    ///
    /// # Errors
    /// The system has no `/proc` with scheduler statistics.
    pub(super) fn now() -> io::Result<Self> {
        let mut spent = Self::default();
        for thread in fs::read_dir("/proc/self/task")? {
            let thread = thread?.path();
            // A thread that ends meanwhile has no files any more.
            let Ok(name) = fs::read_to_string(thread.join("comm")) else {
                continue;
            };
            let counted = match name.trim() {
                "control" => &mut spent.control,
                "traffic" => &mut spent.traffic,
                _ => continue,
            };
            if let Ok(statistics) = fs::read_to_string(thread.join("schedstat")) {
                *counted += on_processor(&statistics)?;
            }
        }
        Ok(spent)
    }

    pub(super) fn since(self, earlier: Self) -> Self {
        Self {
            control: self.control.saturating_sub(earlier.control),
            traffic: self.traffic.saturating_sub(earlier.traffic),
        }
    }
}

/// The first number of the file: nanoseconds on a processor.
fn on_processor(statistics: &str) -> io::Result<Duration> {
    let first = statistics.split_whitespace().next();
    let nanos = first.and_then(|number| number.parse().ok());
    nanos
        .map(Duration::from_nanos)
        .ok_or_else(|| io::Error::other("schedstat has no number"))
}
