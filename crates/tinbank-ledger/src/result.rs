//! Reads results back: joins a chunk's items with their first completions.

use tinbank_base::{
    frame::request::Outcome,
    id,
    record::{Envelope, work},
};

use crate::{
    chunk::{Chunk, Place},
    shard::Carry,
};

/// Returns the chunk in the record at `place` of its envelope, original or carried forward. `None` if the record is of
/// another kind.
pub fn chunk_at(envelope: &Envelope<work::Record>, place: Place) -> Option<&work::Chunk> {
    match envelope.records.get(usize::from(place.record))? {
        work::Record::Chunk(chunk) => Some(chunk),
        work::Record::Carried(carried) => Some(&carried.chunk),
        _ => None,
    }
}

/// Returns the first completion of each of a chunk's items, in item order. `None` for an item that has not ended.
///
/// `results` are the envelopes at the offsets [`Chunk::results`], in that order.
pub fn completions<'a>(
    job: id::Job,
    chunk: &Chunk,
    results: impl IntoIterator<Item = &'a Envelope<work::Record>>,
) -> Vec<Option<work::Completion>> {
    let mut found: Vec<Option<work::Completion>> = vec![None; chunk.items() as usize];
    let records = results.into_iter().flat_map(|result| &result.records);
    for completion in records.flat_map(|record| completions_of_chunk(record, job, chunk.chunk)) {
        if !chunk.ended(completion.item) {
            continue;
        }
        let entry = &mut found[(completion.item - chunk.first) as usize];
        if entry.is_none() {
            *entry = Some(completion.clone());
        }
    }
    found
}

/// Returns the results of a chunk's items, as sent in responses to other processes.
pub fn outcomes<'a>(
    body: &work::Chunk,
    chunk: &Chunk,
    results: impl IntoIterator<Item = &'a Envelope<work::Record>>,
) -> Vec<Outcome> {
    let completions = completions(body.job, chunk, results);
    let items = body.items.iter().zip(completions);
    items
        .map(|(item, completion)| Outcome {
            custom_id: item.custom_id.clone(),
            completion,
        })
        .collect()
}

/// Returns the record that carries a chunk forward. `through` is the last folded offset of the shard that returned
/// `carry`.
///
/// The bodies of items that will not run any more are left out. If `results` is empty, the record moves only the
/// bodies; every results envelope must then be moved first, by [`moved`].
pub fn carried<'a>(
    carry: &Carry<'_>,
    body: &work::Chunk,
    results: impl IntoIterator<Item = &'a Envelope<work::Record>>,
    through: id::Offset,
) -> work::Record {
    let chunk = carry.chunk;
    let completions = completions(carry.job, chunk, results);
    let mut items = body.items.clone();
    for (number, item) in (chunk.first..).zip(&mut items) {
        if chunk.ended(number) || carry.cancelled {
            item.body = bytes::Bytes::new();
        }
    }
    work::Record::Carried(work::Carried {
        through,
        chunk: work::Chunk {
            job: carry.job,
            intake: carry.intake,
            chunk: chunk.chunk,
            first: chunk.first,
            items,
        },
        completions: completions.into_iter().flatten().collect(),
    })
}

/// Returns the record that carries forward a chunk's completions in the envelope at `from`, one of [`Chunk::results`].
pub fn moved(
    carry: &Carry<'_>,
    from: id::Offset,
    envelope: &Envelope<work::Record>,
) -> work::Record {
    let chunk = carry.chunk;
    let completions = completions(carry.job, chunk, [envelope]);
    work::Record::Moved(work::Moved {
        intake: carry.intake,
        from,
        completed: work::Completed {
            job: carry.job,
            chunk: chunk.chunk,
            completions: completions.into_iter().flatten().collect(),
        },
    })
}

fn completions_of_chunk(
    record: &work::Record,
    job: id::Job,
    chunk: id::Chunk,
) -> &[work::Completion] {
    match record {
        work::Record::Completed(completed) if completed.job == job && completed.chunk == chunk => {
            &completed.completions
        }
        work::Record::Moved(moved)
            if moved.completed.job == job && moved.completed.chunk == chunk =>
        {
            &moved.completed.completions
        }
        work::Record::Carried(carried)
            if carried.chunk.job == job && carried.chunk.chunk == chunk =>
        {
            &carried.completions
        }
        _ => &[],
    }
}
