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
fn what_ends_during_an_append_shares_the_next() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, 10), start);
    let first = outbox.take(false, start).unwrap();
    outbox.push(1, 0, completion(1, 10), start);
    outbox.push(2, 0, completion(2, 10), start);

    assert_eq!(outbox.take(false, start), None);
    outbox.done(Vec::new(), start);
    let second = outbox.take(false, start).unwrap();

    assert_eq!((items(&first), items(&second)), (vec![0], vec![1, 2]));
}

#[test]
fn what_was_not_appended_is_taken_again() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, 10), start);
    let batch = outbox.take(false, start).unwrap();

    outbox.done(batch, start);

    assert_eq!(items(&outbox.take(false, start).unwrap()), [0]);
}

#[test]
fn an_append_is_bounded_and_nothing_is_left_out() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    for item in 0..10 {
        outbox.push(1, item / 4, completion(item, APPEND_BYTES / 3), start);
    }
    outbox.push(2, 0, completion(10, APPEND_BYTES * 2), start);

    let mut batches = Vec::new();
    while let Some(batch) = outbox.take(false, start) {
        batches.push(items(&batch));
        outbox.done(Vec::new(), start);
    }

    assert!(batches.iter().all(|batch| batch.len() <= 3), "{batches:?}");
    assert_eq!(batches.concat(), (0..=10).collect::<Vec<_>>());
    assert_eq!((outbox.bytes(), outbox.is_empty()), (0, true));
}

#[test]
fn completions_wait_a_moment_for_others_that_may_end() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, 10), start);
    outbox.push(1, 0, completion(1, 10), start + COMPANY / 2);

    let early = outbox.take(true, start + COMPANY / 2);
    let due = outbox.take(true, start + COMPANY);

    assert_eq!(early, None);
    assert_eq!(items(&due.unwrap()), [0, 1]);
}

#[test]
fn a_full_append_waits_for_nothing() {
    let start = Instant::now();
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, APPEND_BYTES), start);

    assert_eq!(items(&outbox.take(true, start).unwrap()), [0]);
}
