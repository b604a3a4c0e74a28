use super::*;

fn completion(item: id::Item, size: usize) -> Completion {
    Completion {
        item,
        attempts: 1,
        outcome: Outcome::Answer(vec![b'1'; size].into()),
    }
}

fn items(batch: &[Completed]) -> Vec<id::Item> {
    let completions = batch.iter().flat_map(|completed| &completed.completions);
    completions.map(|completion| completion.item).collect()
}

#[test]
fn completions_during_an_append_share_the_next() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, 10), start);
    let first = outbox.next_batch(false, start).unwrap();
    outbox.push(1, 0, completion(1, 10), start);
    outbox.push(2, 0, completion(2, 10), start);

    assert_eq!(outbox.next_batch(false, start), None);
    outbox.on_appended(Vec::new(), start);
    let second = outbox.next_batch(false, start).unwrap();

    assert_eq!((items(&first), items(&second)), (vec![0], vec![1, 2]));
}

#[test]
fn failed_appends_are_retried() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, 10), start);
    let batch = outbox.next_batch(false, start).unwrap();

    outbox.on_appended(batch, start);

    assert_eq!(items(&outbox.next_batch(false, start).unwrap()), [0]);
}

#[test]
fn appends_are_bounded_and_include_every_completion() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    for item in 0..10 {
        outbox.push(1, item / 4, completion(item, APPEND_BYTES / 3), start);
    }
    outbox.push(2, 0, completion(10, APPEND_BYTES * 2), start);

    let mut batches = Vec::new();
    while let Some(batch) = outbox.next_batch(false, start) {
        batches.push(items(&batch));
        outbox.on_appended(Vec::new(), start);
    }

    assert!(batches.iter().all(|batch| batch.len() <= 3), "{batches:?}");
    assert_eq!(batches.concat(), (0..=10).collect::<Vec<_>>());
    assert_eq!((outbox.bytes(), outbox.is_empty()), (0, true));
}

#[test]
fn completions_wait_for_others_while_items_are_running() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, 10), start);
    outbox.push(1, 0, completion(1, 10), start + BATCHING_DELAY / 2);

    let early = outbox.next_batch(true, start + BATCHING_DELAY / 2);
    let due = outbox.next_batch(true, start + BATCHING_DELAY);

    assert_eq!(early, None);
    assert_eq!(items(&due.unwrap()), [0, 1]);
}

#[test]
fn a_full_batch_is_appended_without_delay() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, APPEND_BYTES), start);

    assert_eq!(items(&outbox.next_batch(true, start).unwrap()), [0]);
}
