//! Parsing of server-sent events from the chunks of an upstream's answer.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event accepted from an upstream, in bytes: the size of the largest record of a platform's log.
pub const MAX_BYTES: usize = 256 << 10;

/// Number of an event, consecutive within a run.
pub type Id = u64;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub id: Option<Id>,
    /// Its bytes as received, including the blank line at the end.
    pub bytes: Bytes,
}

/// The error for an event larger than [`MAX_BYTES`].
#[derive(Debug, thiserror::Error)]
#[error("event is larger than {MAX_BYTES} bytes")]
pub struct TooLarge;

/// A parser that splits a stream into events. An event without its final blank line is never returned.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    search_start: usize,
}

impl Splitter {
    /// Appends the next chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), TooLarge> {
        if self.buffer.len() + chunk.len() > MAX_BYTES {
            return Err(TooLarge);
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        self.search_start = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = field(&bytes, "id").next().and_then(|it| it.parse().ok());
        Some(Event { id, bytes })
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        self.buffer.has_remaining()
    }

    fn event_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let from = self.search_start;
        let found = (from..bytes.len()).find_map(|at| blank_line(bytes, at));
        // The last three bytes may be the start of a blank line that is completed by the next chunk.
        self.search_start = bytes.len().saturating_sub(3);
        found
    }
}

/// Returns the end of the blank line that starts with the line break at `at`, if there is one.
fn blank_line(bytes: &[u8], at: usize) -> Option<usize> {
    let rest = &bytes[at..];
    let ends = ["\n\n", "\r\n\r\n", "\n\r\n"];
    let end = ends.iter().find(|end| rest.starts_with(end.as_bytes()))?;
    Some(at + end.len())
}

impl Event {
    /// Returns the `data` lines, joined by line feeds.
    pub fn data(&self) -> Option<String> {
        let lines: Vec<&str> = field(&self.bytes, "data").collect();
        (!lines.is_empty()).then(|| lines.join("\n"))
    }
}

/// Returns the values of a field of an event.
fn field<'a>(bytes: &'a [u8], name: &'a str) -> impl Iterator<Item = &'a str> {
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    text.lines().filter_map(move |line| {
        let value = line.strip_prefix(name)?.strip_prefix(':')?;
        Some(value.strip_prefix(' ').unwrap_or(value))
    })
}
