//! The events of a stream, as they come in pieces from an upstream.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is taken from an upstream, in bytes. Source: the largest record that a platform's log takes.
pub const MAX_BYTES: usize = 256 << 10;

/// Number of an event. It rises by one from event to event of a run.
pub type Id = u64;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<Id>,
    /// Its bytes as they came, with the empty line at its end.
    pub bytes: Bytes,
}

/// An event is larger than [`MAX_BYTES`].
#[derive(Debug, thiserror::Error)]
#[error("an event is larger than {MAX_BYTES} bytes")]
pub struct TooLarge;

/// Splits a stream into events. What was not ended by an empty line is never given out.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Takes in the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), TooLarge> {
        if self.buffer.len() + piece.len() > MAX_BYTES {
            return Err(TooLarge);
        }
        self.buffer.extend_from_slice(piece);
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = field(&bytes, "id").next().and_then(|it| it.parse().ok());
        Some(Event { id, bytes })
    }

    /// True if the stream stopped partway through an event.
    pub fn is_partial(&self) -> bool {
        self.buffer.has_remaining()
    }

    fn event_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let from = self.searched;
        let found = (from..bytes.len()).find_map(|at| blank_line(bytes, at));
        // A line end may still come behind the last three bytes.
        self.searched = bytes.len().saturating_sub(3);
        found
    }
}

/// Where an empty line that begins with the line end at `at` ends.
fn blank_line(bytes: &[u8], at: usize) -> Option<usize> {
    let rest = &bytes[at..];
    let ends = ["\n\n", "\r\n\r\n", "\n\r\n"];
    let end = ends.iter().find(|end| rest.starts_with(end.as_bytes()))?;
    Some(at + end.len())
}

impl Event {
    /// The data of the event: its lines joined by line feeds.
    pub fn data(&self) -> Option<String> {
        let lines: Vec<&str> = field(&self.bytes, "data").collect();
        (!lines.is_empty()).then(|| lines.join("\n"))
    }
}

/// The values of a field of an event.
fn field<'a>(bytes: &'a [u8], name: &'a str) -> impl Iterator<Item = &'a str> {
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    text.lines().filter_map(move |line| {
        let value = line.strip_prefix(name)?.strip_prefix(':')?;
        Some(value.strip_prefix(' ').unwrap_or(value))
    })
}
