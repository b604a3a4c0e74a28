//! Writes what the fold remembers of writers into a checkpoint.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tinbank_base::record::Writer;
use tinbank_log::fold::Dedupe;

#[derive(Serialize, Deserialize)]
struct Seen {
    writer: Writer,
    sequence: u64,
}

pub(super) fn serialize<S: Serializer>(dedupe: &Dedupe, serializer: S) -> Result<S::Ok, S::Error> {
    // Postcard writes the length first, which the iterator does not know.
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
