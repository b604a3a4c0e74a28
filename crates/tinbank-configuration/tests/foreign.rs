//! Records with arbitrary contents and records of other versions are judged or skipped and do not stop the fold.

mod support;

use proptest::{prelude::*, sample::select};
use support::*;
use tinbank_base::{
    id,
    platform::log::Entry,
    record::{
        config::{Kept, Object, Put, Recent, Record},
        envelope,
    },
};
use tinbank_configuration::fold::{Fold, Judged, Verdict};
use tinbank_test_support::property;

const CASES: u32 = 512;

proptest! {
    #![proptest_config(property::config(CASES))]

    #[test]
    fn arbitrary_records_do_not_stop_the_fold(records in prop::collection::vec((0_u32..3, small_or_max_u64(), record()), 0..20), trimmed: bool) {
        let mut fold = Fold::default();
        if trimmed {
            fold.on_trimmed(5);
        }

        for (offset, (host, sequence, record)) in (0..).zip(records) {
            fold.apply(&entry(offset + if trimmed { 5 } else { 0 }, host, sequence, record));
        }

        let _ = fold.state().snapshot();
        fold.synthetic_checkpoint(|record| envelope(1, 1, vec![record]).encode());
    }

    #[test]
    fn arbitrary_entries_of_a_peer_are_applied_or_ignored(records in prop::collection::vec((small_or_max_u64(), 0_u32..3, record()), 0..20)) {
        let mut fold = Fold::default();

        for (offset, host, record) in records {
            let before = fold.state().next();
            fold.apply_from_peer(&[entry(offset, host, 1, record)]);

            prop_assert!(fold.state().next() >= before, "the state went back to an earlier offset");
        }
    }

    #[test]
    fn an_arbitrary_text_is_accepted_or_invalid(text in "\\PC{0,80}", object in object()) {
        let mut fold = Fold::default();

        let judged = fold.apply(&entry(0, 1, 1, Record::Put(put(1, object, None, Some(&text)))));

        prop_assert!(is_judged(&judged), "{:?}", judged);
    }

    #[test]
    fn a_template_with_a_changed_character_is_accepted_or_invalid(at: prop::sample::Index, character: char) {
        let mut text: Vec<char> = TEMPLATE.chars().collect();
        let at = at.index(text.len());
        text[at] = character;
        let text: String = text.into_iter().collect();
        let mut fold = Fold::default();

        let judged = fold.apply(&entry(0, 1, 1, Record::Put(put(1, template("t"), None, Some(&text)))));

        prop_assert!(is_judged(&judged), "{:?}", judged);
    }
}

#[test]
fn an_envelope_of_a_later_version_is_skipped_and_the_next_change_is_judged() {
    let mut fold = Fold::default();
    let change = Record::Put(put(1, template("t"), None, Some(TEMPLATE)));
    let known = entry(1, 1, 1, change);
    let mut payload = known.payload.to_vec();
    payload[0] = envelope::VERSION + 1;
    let later = Entry {
        offset: 0,
        payload: payload.into(),
    };

    let skipped = fold.apply(&later);
    let judged = fold.apply(&known);

    assert!(skipped.is_empty());
    assert_eq!(judged[0].verdict, Verdict::Accepted { revision: 1 });
}

/// Otherwise the state would be ahead of the stream, and changes up to that offset would be ignored.
#[yare::parameterized(
    maximum = { id::Offset::MAX },
    own_offset = { 5 },
)]
fn a_checkpoint_that_covers_its_own_offset_or_later_ones_is_ignored(through: id::Offset) {
    let mut fold = Fold::default();
    fold.on_trimmed(5);

    fold.apply(&entry(5, 1, 1, checkpoint(through, Vec::new())));

    assert_eq!(fold.state().next(), 0);
    assert!(fold.has_gap());
}

#[test]
fn a_checkpoint_that_contains_a_later_revision_is_ignored() {
    let mut fold = Fold::default();
    fold.on_trimmed(5);
    let kept = Kept {
        object: template("t"),
        revision: 9,
        body: None,
        author: "ann".into(),
    };

    fold.apply(&entry(5, 1, 1, checkpoint(4, vec![kept])));

    assert!(fold.has_gap());
}

fn is_judged(judged: &[Judged]) -> bool {
    let verdict = judged.first().map(|judged| &judged.verdict);
    matches!(
        verdict,
        Some(Verdict::Accepted { .. } | Verdict::Invalid { .. })
    )
}

fn entry(offset: id::Offset, host: id::Host, sequence: u64, record: Record) -> Entry {
    Entry {
        offset,
        payload: envelope(host, sequence, vec![record]).encode(),
    }
}

fn checkpoint(through: id::Offset, objects: Vec<Kept>) -> Record {
    Record::Checkpoint {
        through,
        part: 0,
        parts: 1,
        objects,
        recent: Vec::new(),
    }
}

fn record() -> impl Strategy<Value = Record> {
    prop_oneof![
        3 => (0_u128..4, object(), prop::option::of(small_or_max_u64()), prop::option::of(body())).prop_map(
            |(change, object, base, body)| Record::Put(Put { change, object, base, body, author: "ann".into() })
        ),
        2 => (small_or_max_u64(), small_or_max_u32(), small_or_max_u32(), prop::collection::vec(kept(), 0..4), prop::collection::vec(recent(), 0..3))
            .prop_map(|(through, part, parts, objects, recent)| Record::Checkpoint { through, part, parts, objects, recent }),
    ]
}

fn kept() -> impl Strategy<Value = Kept> {
    (object(), small_or_max_u64(), prop::option::of(body())).prop_map(|(object, revision, body)| {
        Kept {
            object,
            revision,
            body,
            author: "ann".into(),
        }
    })
}

fn recent() -> impl Strategy<Value = Recent> {
    (small_or_max_u64(), 0_u32..3, small_or_max_u64(), 0_u128..4).prop_map(
        |(offset, host, sequence, change)| Recent {
            offset,
            writer: writer(host),
            sequence,
            changes: [change].into_iter().collect(),
        },
    )
}

fn object() -> impl Strategy<Value = Object> {
    select(vec![
        template("t"),
        template(""),
        customer("c"),
        customer("../c"),
        Object::Host(1),
        Object::Upstream(u32::MAX),
    ])
}

fn body() -> impl Strategy<Value = String> {
    let texts = [
        TEMPLATE.to_owned(),
        SMALLER_TEMPLATE.to_owned(),
        customer_body("t", "key", 1),
        dispatching_body("t"),
        r#"{ "state": "leaving" }"#.to_owned(),
        "[".repeat(10_000),
        String::new(),
    ];
    select(texts.to_vec())
}

fn small_or_max_u32() -> impl Strategy<Value = u32> {
    prop_oneof![4 => 0_u32..3, 1 => select(vec![u32::MAX - 1, u32::MAX])]
}

fn small_or_max_u64() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..8, 1 => select(vec![u64::MAX - 1, u64::MAX])]
}
