//! Encodes envelopes from records that were encoded one by one, so that those of many callers can share one.

use bytes::Bytes;
use serde::Serialize;
use tinbank_base::{
    clock::Stamp,
    record::{Writer, envelope::VERSION},
};

/// Encodes records one after the other, without their count.
pub fn records<R: Serialize>(records: &[R]) -> Bytes {
    let encoded = records.iter().try_fold(Vec::new(), |buffer, record| {
        postcard::to_extend(record, buffer)
    });
    encoded
        .expect("records hold only types that postcard can write")
        .into()
}

/// Encodes an envelope exactly as [`Envelope::encode`](tinbank_base::record::Envelope::encode) does.
pub fn envelope(
    writer: Writer,
    sequence: u64,
    stamp: Stamp,
    count: usize,
    records: &[Bytes],
) -> Bytes {
    let head = (writer, sequence, stamp, count);
    let mut buffer = postcard::to_extend(&head, vec![VERSION])
        .expect("an envelope's head holds only types that postcard can write");
    for record in records {
        buffer.extend_from_slice(record);
    }
    buffer.into()
}
