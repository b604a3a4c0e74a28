//! Captures what a command writes.

use std::{
    io::Write,
    sync::{Arc, Mutex},
};

use tinbank_cli::output::Output;

/// The two streams of a command.
#[derive(Clone, Default)]
pub struct Captured {
    out: Stream,
    err: Stream,
}

#[derive(Clone, Default)]
struct Stream(Arc<Mutex<Vec<u8>>>);

impl Captured {
    /// An output that is captured.
    pub fn output(&self) -> Output {
        Output::new(Box::new(self.out.clone()), Box::new(self.err.clone()))
    }

    /// What went to stdout.
    pub fn out(&self) -> String {
        self.out.text()
    }

    /// What went to stderr.
    pub fn err(&self) -> String {
        self.err.text()
    }
}

impl Stream {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no writer panics");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("no writer panics")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
