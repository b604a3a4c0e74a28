//! Writes lines from a thread of its own, so that a reader that stands still stops nothing.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use logforth::{Append, Diagnostic, Error, record::Record};

use super::{
    line,
    rate::{Pass, Rates},
};

/// Most bytes that wait to be written. What comes beyond is left out and counted.
const MAX_WAITING: usize = 256 << 10;
/// How long lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(50);
/// How long the end of the process waits for the last lines.
const LAST_LINES: Duration = Duration::from_millis(200);

/// Takes lines; never blocks on their reader.
#[derive(Debug)]
pub struct Output(Arc<Shared>);

/// Writes out what waits when it is dropped.
pub struct Flush(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    writing: bool,
    left_out: u64,
    rates: Rates,
}

/// An output to a writer, and what flushes it.
pub fn open(writer: impl Write + Send + 'static) -> (Output, Flush) {
    let shared = Arc::new(Shared::default());
    let of_thread = Arc::clone(&shared);
    let started = thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write(&of_thread, writer));
    if let Err(error) = started {
        eprintln!("can't start the thread that writes logs: {error}");
    }
    (Output(Arc::clone(&shared)), Flush(shared))
}

impl Append for Output {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.0.take(record);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

impl Drop for Flush {
    fn drop(&mut self) {
        let state = self.0.lock();
        let busy = |state: &mut State| state.writing || !state.waiting.is_empty();
        drop(self.0.changed.wait_timeout_while(state, LAST_LINES, busy));
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A thread that panicked leaves whole lines behind.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, record: &Record<'_>) {
        let kind = record.payload().to_string();
        let mut state = self.lock();
        let Pass::Write { left_out } = state.rates.pass(&kind, Instant::now()) else {
            return;
        };
        let mut text = line::format(record);
        if left_out > 0 {
            text.push_str(&format!(
                "event=\"lines left out\" kind={kind:?} count={left_out}\n"
            ));
        }
        if state.waiting.len() + text.len() > MAX_WAITING {
            state.left_out += 1;
            return;
        }
        let first = state.waiting.is_empty();
        state.waiting.extend_from_slice(text.as_bytes());
        drop(state);
        if first {
            self.changed.notify_all();
        }
    }
}

/// Writes for as long as the process runs.
fn write(shared: &Shared, mut writer: impl Write) {
    loop {
        let idle = shared
            .changed
            .wait_while(shared.lock(), |state| state.waiting.is_empty());
        drop(idle);
        thread::sleep(GATHER);
        let mut state = shared.lock();
        let lines = std::mem::take(&mut state.waiting);
        let left_out = std::mem::take(&mut state.left_out);
        state.writing = true;
        drop(state);
        let written = writer.write_all(&lines).and_then(|()| match left_out {
            0 => writer.flush(),
            _ => writeln!(
                writer,
                "event=\"lines left out, reader too slow\" count={left_out}"
            ),
        });
        shared.lock().writing = false;
        shared.changed.notify_all();
        if let Err(error) = written {
            eprintln!("logs can't be written: {error}");
        }
    }
}
