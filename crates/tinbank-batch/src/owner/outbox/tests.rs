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
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, 10));
    let first = outbox.take().unwrap();
    outbox.push(1, 0, completion(1, 10));
    outbox.push(2, 0, completion(2, 10));

    assert_eq!(outbox.take(), None);
    outbox.done(Vec::new());
    let second = outbox.take().unwrap();

    assert_eq!((items(&first), items(&second)), (vec![0], vec![1, 2]));
}

#[test]
fn what_was_not_appended_is_taken_again() {
    let mut outbox = Outbox::default();
    outbox.push(1, 0, completion(0, 10));
    let batch = outbox.take().unwrap();

    outbox.done(batch);

    assert_eq!(items(&outbox.take().unwrap()), [0]);
}

#[test]
fn an_append_is_bounded_and_nothing_is_left_out() {
    let mut outbox = Outbox::default();
    for item in 0..10 {
        outbox.push(1, item / 4, completion(item, APPEND_BYTES / 3));
    }
    outbox.push(2, 0, completion(10, APPEND_BYTES * 2));

    let mut batches = Vec::new();
    while let Some(batch) = outbox.take() {
        batches.push(items(&batch));
        outbox.done(Vec::new());
    }

    assert!(batches.iter().all(|batch| batch.len() <= 3), "{batches:?}");
    assert_eq!(batches.concat(), (0..=10).collect::<Vec<_>>());
    assert_eq!((outbox.bytes(), outbox.is_empty()), (0, true));
}
