//! Reads server-sent events out of a stream of bytes.

/// Longest event that is taken, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Cuts a stream into the data of its events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buffer: Vec<u8>,
}

/// An event is longer than any of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT} bytes")]
pub(crate) struct TooLong;

impl Events {
    /// Takes in some bytes and gives the data of the events that are whole by now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some((length, end)) = find_end(&self.buffer) {
            let event: Vec<u8> = self.buffer.drain(..end).take(length).collect();
            if let Some(data) = data(&String::from_utf8_lossy(&event)) {
                events.push(data);
            }
        }
        if self.buffer.len() > MAX_EVENT {
            return Err(TooLong);
        }
        Ok(events)
    }
}

/// Length of the first event, and where the next one begins.
fn find_end(buffer: &[u8]) -> Option<(usize, usize)> {
    let newline = buffer.windows(2).position(|pair| pair == b"\n\n");
    let carriage = buffer.windows(4).position(|four| four == b"\r\n\r\n");
    match (newline, carriage) {
        (Some(newline), Some(carriage)) if carriage < newline => Some((carriage, carriage + 4)),
        (None, Some(carriage)) => Some((carriage, carriage + 4)),
        (Some(newline), _) => Some((newline, newline + 2)),
        (None, None) => None,
    }
}

fn data(event: &str) -> Option<String> {
    let lines: Vec<&str> = event
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|line| line.strip_prefix(' ').unwrap_or(line))
        .collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

#[cfg(test)]
mod tests;
