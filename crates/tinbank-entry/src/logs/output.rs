//! Writes log lines from a separate thread, so that a blocked reader never blocks the process.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use logforth::{Append, Diagnostic, Error, record::Record};

use super::{
    line,
    rate::{Decision, RateLimiter},
};

/// Size limit of the buffer, in bytes. Lines beyond it are dropped and counted.
const MAX_BUFFER_BYTES: usize = 256 << 10;
/// How long lines are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// How long the end of the process waits until the last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Appender that buffers lines and never blocks on the writer.
#[derive(Debug)]
pub struct Output(Arc<Shared>);

/// Guard that waits for the buffered lines to be written when it is dropped.
pub struct Flush(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    buffer: Vec<u8>,
    is_writing: bool,
    dropped: u64,
    limiter: RateLimiter,
}

/// Opens an output to a writer, and returns it with its flush guard.
pub fn open(writer: impl Write + Send + 'static) -> (Output, Flush) {
    let shared = Arc::new(Shared::default());
    let thread_shared = Arc::clone(&shared);
    let spawned = thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_loop(&thread_shared, writer));
    if let Err(error) = spawned {
        eprintln!("can't start the log writer thread: {error}");
    }
    (Output(Arc::clone(&shared)), Flush(shared))
}

impl Append for Output {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.0.append(record);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

impl Drop for Flush {
    fn drop(&mut self) {
        let state = self.0.lock();
        let is_pending = |state: &mut State| state.is_writing || !state.buffer.is_empty();
        drop(
            self.0
                .changed
                .wait_timeout_while(state, FLUSH_TIMEOUT, is_pending),
        );
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The buffer holds only complete lines, even if a thread panicked while it held the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, record: &Record<'_>) {
        let event = record.payload().to_string();
        let mut state = self.lock();
        let Decision::Write { dropped } = state.limiter.check(&event, Instant::now()) else {
            return;
        };
        let mut text = line::format(record);
        if dropped > 0 {
            text.push_str(&format!(
                "event=\"lines left out\" kind={event:?} count={dropped}\n"
            ));
        }
        if state.buffer.len() + text.len() > MAX_BUFFER_BYTES {
            state.dropped += 1;
            return;
        }
        let was_empty = state.buffer.is_empty();
        state.buffer.extend_from_slice(text.as_bytes());
        drop(state);
        if was_empty {
            self.changed.notify_all();
        }
    }
}

/// Writes buffered lines for as long as the process runs.
fn write_loop(shared: &Shared, mut writer: impl Write) {
    loop {
        let has_lines = shared
            .changed
            .wait_while(shared.lock(), |state| state.buffer.is_empty());
        drop(has_lines);
        thread::sleep(BATCH_DELAY);
        let mut state = shared.lock();
        let lines = std::mem::take(&mut state.buffer);
        let dropped = std::mem::take(&mut state.dropped);
        state.is_writing = true;
        drop(state);
        let written = writer.write_all(&lines).and_then(|()| match dropped {
            0 => writer.flush(),
            _ => writeln!(
                writer,
                "event=\"lines left out, reader too slow\" count={dropped}"
            ),
        });
        shared.lock().is_writing = false;
        shared.changed.notify_all();
        if let Err(error) = written {
            eprintln!("can't write logs: {error}");
        }
    }
}
