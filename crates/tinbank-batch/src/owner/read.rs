//! Reads single envelopes and chunks.

use std::time::{Duration, Instant};

use tinbank_base::{
    id,
    platform::log::{Error as LogError, Log, Page, Stream},
    record::{Envelope, work},
};
use tinbank_ledger::{chunk::Place, result};

use super::load::LOAD_TIMEOUT;

/// Maximum attempts to read one entry.
const READ_ATTEMPTS: u32 = 5;
/// Delay before the first retry; it doubles with each further one.
const READ_BACKOFF: Duration = Duration::from_millis(20);

/// Reads the chunk at a place in the log.
pub(super) async fn read_chunk(
    log: &dyn Log,
    shard: id::Shard,
    place: Place,
) -> Result<work::Chunk, String> {
    let envelope = read_envelope(log, shard, place.offset).await?;
    let chunk = result::chunk_at(&envelope, place);
    chunk
        .cloned()
        .ok_or_else(|| format!("no chunk stands at {place:?}"))
}

/// Reads one envelope, with retries: a reply to a caller needs many reads and fails if any of them does.
pub(super) async fn read_envelope(
    log: &dyn Log,
    shard: id::Shard,
    offset: id::Offset,
) -> Result<Envelope<work::Record>, String> {
    let mut backoff = READ_BACKOFF;
    for _ in 1..READ_ATTEMPTS {
        match read_entry(log, shard, offset).await {
            Err(LogError::Unavailable(_) | LogError::Throttled { .. }) => {}
            read => return decode(read, offset),
        }
        tokio::time::sleep(backoff).await;
        backoff *= 2;
    }
    decode(read_entry(log, shard, offset).await, offset)
}

async fn read_entry(log: &dyn Log, shard: id::Shard, offset: id::Offset) -> Result<Page, LogError> {
    let until = Instant::now() + LOAD_TIMEOUT;
    let read = log.read(Stream::Work(shard), offset, 1, until);
    let late = |_| Err(LogError::Protocol("no answer in time".to_owned()));
    tokio::time::timeout_at(until.into(), read)
        .await
        .unwrap_or_else(late)
}

fn decode(
    read: Result<Page, LogError>,
    offset: id::Offset,
) -> Result<Envelope<work::Record>, String> {
    let page = read.map_err(|error| error.to_string())?;
    let entry = page.entries.first().filter(|entry| entry.offset == offset);
    let entry = entry.ok_or_else(|| format!("no entry stands at offset {offset}"))?;
    Envelope::decode(&entry.payload).map_err(|error| error.to_string())
}
