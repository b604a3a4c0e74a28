//! Serializes the deduplication state for checkpoints: the last sequence of each writer.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tinbank_base::record::Writer;
use tinbank_log::fold::Dedupe;

#[derive(Serialize, Deserialize)]
struct Seen {
    writer: Writer,
    sequence: u64,
}

pub(super) fn serialize<S: Serializer>(dedupe: &Dedupe, serializer: S) -> Result<S::Ok, S::Error> {
    // Postcard writes the length first, and the iterator does not know it.
    let seen: Vec<Seen> = dedupe
        .iter()
        .map(|(writer, sequence)| Seen { writer, sequence })
        .collect();
    seen.serialize(serializer)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Dedupe, D::Error> {
    let seen = Vec::<Seen>::deserialize(deserializer)?;
    let seen = seen.into_iter();
    Ok(seen.map(|seen| (seen.writer, seen.sequence)).collect())
}
