//! Rules by which single changes are judged.

mod support;

use support::*;
use tinbank_base::record::config::{Put, Record};
use tinbank_configuration::fold::{State, Verdict};
use tinbank_test_support::log::Memory;

/// Folds changes in one envelope each and returns the verdicts.
fn verdicts(puts: Vec<Put>) -> (State, Vec<Verdict>) {
    let log = Memory::new();
    for (sequence, put) in (1..).zip(puts) {
        push_put(&log, sequence, put);
    }
    fold(&log)
}

fn fold(log: &Memory) -> (State, Vec<Verdict>) {
    let mut state = State::default();
    let judged: Vec<_> = entries(log)
        .iter()
        .flat_map(|entry| state.apply(entry))
        .collect();
    let verdicts = judged.into_iter().map(|judged| judged.verdict).collect();
    (state, verdicts)
}

fn base() -> Vec<Put> {
    vec![
        put(1, template("t"), None, Some(TEMPLATE)),
        put(2, customer("c"), None, Some(&customer_body("t", "key", 1))),
    ]
}

fn base_and(more: impl IntoIterator<Item = Put>) -> Vec<Put> {
    base().into_iter().chain(more).collect()
}

fn message(verdict: &Verdict) -> &str {
    let Verdict::Invalid { findings } = verdict else {
        panic!("{verdict:?}");
    };
    &findings[0].message
}

#[test]
fn an_accepted_customer_is_active_and_merged_with_its_template() {
    let (state, verdicts) = verdicts(base());

    let snapshot = state.snapshot();
    let customer = snapshot
        .by_key("key")
        .expect("the customer is found by its key");
    assert_eq!(verdicts[1], Verdict::Accepted { revision: 1 });
    assert_eq!((customer.name.as_str(), customer.revision), ("c", 1));
    assert_eq!(customer.streams["sweep"].service, "notes");
    assert_eq!(snapshot.next, 2);
}

#[test]
fn of_two_changes_based_on_one_revision_only_the_first_is_accepted() {
    let second = customer_body("t", "key", 2);
    let third = customer_body("t", "key", 3);

    let (state, verdicts) = verdicts(base_and([
        put(3, customer("c"), Some(1), Some(&second)),
        put(4, customer("c"), Some(1), Some(&third)),
    ]));

    let overtaken = Verdict::Overtaken {
        current: Some(2),
        by: Some("operator 3".to_owned()),
    };
    assert_eq!(verdicts[3], overtaken);
    assert_eq!(state.snapshot().customers["c"].share, 2);
}

#[test]
fn the_verdict_on_a_change_overtaken_by_a_deletion_names_its_author() {
    let (_, verdicts) = verdicts(base_and([
        put(3, customer("c"), Some(1), None),
        put(4, customer("c"), Some(1), Some("{}")),
    ]));

    let overtaken = Verdict::Overtaken {
        current: None,
        by: Some("operator 3".to_owned()),
    };
    assert_eq!(verdicts[3], overtaken);
}

#[test]
fn a_duplicate_change_is_not_judged_again_even_if_it_would_be_accepted_now() {
    let body = customer_body("t", "key", 1);
    let log = Memory::new();
    push_put(&log, 1, put(1, template("t"), None, Some(TEMPLATE)));
    push_put(&log, 2, put(2, customer("c"), None, Some(&body)));
    push_put(&log, 3, put(3, customer("c"), Some(1), None));
    // The change is sent again in a new envelope after the object was deleted.
    push_put(&log, 4, put(2, customer("c"), None, Some(&body)));

    let (state, verdicts) = fold(&log);

    assert_eq!(verdicts[3], Verdict::Copy);
    assert!(state.snapshot().customers.is_empty());
}

#[test]
fn a_duplicate_envelope_is_not_judged_again() {
    let log = Memory::new();
    let first = vec![Record::Put(put(1, template("t"), None, Some(TEMPLATE)))];
    push(&log, 1, 5, first);
    push(
        &log,
        2,
        1,
        vec![Record::Put(put(2, template("t"), Some(0), None))],
    );
    // The change has another id, so that only the sequence number of the envelope shows that it is a duplicate.
    let copy = vec![Record::Put(put(9, template("t"), None, Some(TEMPLATE)))];
    push(&log, 1, 5, copy);

    let (state, verdicts) = fold(&log);

    assert_eq!(verdicts[2], Verdict::Copy);
    assert_eq!(state.objects().count(), 0);
}

#[test]
fn the_template_of_a_customer_has_to_precede_it_in_the_stream() {
    let body = customer_body("later", "other", 1);

    let (_, verdicts) = verdicts(base_and([
        put(3, customer("d"), None, Some(&body)),
        put(4, template("later"), None, Some(TEMPLATE)),
        put(5, customer("d"), None, Some(&body)),
    ]));

    assert_eq!(message(&verdicts[2]), "there is no template \"later\"");
    assert_eq!(verdicts[4], Verdict::Accepted { revision: 4 });
}

#[test]
fn a_template_in_use_cannot_be_deleted() {
    let (_, verdicts) = verdicts(base_and([
        put(3, template("t"), Some(0), None),
        put(4, customer("c"), Some(1), None),
        put(5, template("t"), Some(0), None),
    ]));

    assert_eq!(
        message(&verdicts[2]),
        "template t is used by 1 customers: c"
    );
    assert_eq!(verdicts[4], Verdict::Accepted { revision: 4 });
}

#[test]
fn a_template_change_applies_to_all_its_customers_or_is_invalid() {
    let (state, verdicts) = verdicts(base_and([
        put(3, customer("d"), None, Some(&dispatching_body("t"))),
        put(4, template("t"), Some(0), Some(SMALLER_TEMPLATE)),
        put(5, customer("d"), Some(2), None),
        put(6, template("t"), Some(0), Some(SMALLER_TEMPLATE)),
    ]));

    assert!(message(&verdicts[3]).contains("customer d would not be valid"));
    assert_eq!(verdicts[5], Verdict::Accepted { revision: 5 });
    let customer = state.snapshot().customers["c"].clone();
    assert_eq!(customer.revision, 5);
    assert!(!customer.services.contains_key("dispatch"));
}

#[test]
fn customers_cannot_share_a_key() {
    let same = customer_body("t", "key", 9);

    let (state, verdicts) = verdicts(base_and([
        put(3, customer("d"), None, Some(&same)),
        put(
            4,
            customer("c"),
            Some(1),
            Some(&customer_body("t", "new", 1)),
        ),
        put(5, customer("d"), None, Some(&same)),
    ]));

    assert!(message(&verdicts[2]).contains("belongs to another customer"));
    assert_eq!(verdicts[4], Verdict::Accepted { revision: 4 });
    let snapshot = state.snapshot();
    assert_eq!(
        snapshot.by_key("key").map(|customer| &*customer.name),
        Some("d")
    );
    assert_eq!(
        snapshot.by_key("new").map(|customer| &*customer.name),
        Some("c")
    );
}

#[test]
fn an_invalid_change_changes_nothing() {
    let (before, _) = verdicts(base());

    let (after, verdicts) = verdicts(base_and([
        put(3, customer("c"), Some(1), Some("{ \"template\": \"t\" }")),
        put(4, customer("a/b"), None, Some("{}")),
        put(5, template("t"), Some(0), Some("{ \"services\": 1 }")),
        put(6, customer("nobody"), None, None),
    ]));

    assert!(
        verdicts[2..]
            .iter()
            .all(|verdict| matches!(verdict, Verdict::Invalid { .. }))
    );
    assert_eq!(after.snapshot().customers, before.snapshot().customers);
    assert!(after.objects().eq(before.objects()));
}
