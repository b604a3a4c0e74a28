//! Compares the fold with a reference implementation: concurrent changes, with entries from logs, peers and checkpoints.

#[path = "support/reference.rs"]
mod reference;
mod support;

use bytes::Bytes;
use proptest::{prelude::*, sample::Index};
use reference::{Kind, Reference};
use support::*;
use tinbank_base::{
    id,
    platform::log::{Entry, Stream},
    record::config::{Object, Put, Record},
};
use tinbank_configuration::fold::{Fold, Judged, WINDOW_OFFSETS, checkpoint};
use tinbank_test_support::{log::Memory, property};

/// The revision that a change is based on.
#[derive(Clone, Copy, Debug)]
enum Base {
    Current,
    None,
    Stale(u64),
}

#[derive(Clone, Copy, Debug)]
enum Body {
    Template,
    SmallerTemplate,
    Customer { template: u8, key: u8 },
    Dispatching { template: u8 },
    Drain { leaving: bool },
    Broken,
    Delete,
}

#[derive(Clone, Debug)]
enum Step {
    Put {
        object: u8,
        base: Base,
        body: Body,
        operator: u8,
    },
    /// Sends a change again, in the same envelope or in a new one.
    Resend {
        which: Index,
        same_envelope: bool,
    },
    Garbage,
    /// Creates a checkpoint and appends it `later` steps later, as a slow host does.
    Checkpoint {
        host: u8,
        later: u8,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let base = prop_oneof![
        6 => Just(Base::Current),
        2 => Just(Base::None),
        1 => (0_u64..30).prop_map(Base::Stale),
    ];
    let body = prop_oneof![
        3 => Just(Body::Template),
        1 => Just(Body::SmallerTemplate),
        4 => (0_u8..2, 0_u8..4).prop_map(|(template, key)| Body::Customer { template, key }),
        2 => (0_u8..2).prop_map(|template| Body::Dispatching { template }),
        2 => any::<bool>().prop_map(|leaving| Body::Drain { leaving }),
        1 => Just(Body::Broken),
        2 => Just(Body::Delete),
    ];
    prop_oneof![
        12 => (0_u8..6, base, body, 0_u8..3).prop_map(|(object, base, body, operator)| Step::Put {
            object, base, body, operator
        }),
        3 => (any::<Index>(), any::<bool>())
            .prop_map(|(which, same_envelope)| Step::Resend { which, same_envelope }),
        1 => Just(Step::Garbage),
        2 => (0_u8..2, 0_u8..3).prop_map(|(host, later)| Step::Checkpoint { host, later }),
    ]
}

fn object(number: u8) -> Object {
    match number {
        0 | 1 => template(&format!("t{number}")),
        5 => Object::Host(7),
        _ => customer(&format!("c{number}")),
    }
}

fn body(body: Body) -> Option<String> {
    match body {
        Body::Template => Some(TEMPLATE.to_owned()),
        Body::SmallerTemplate => Some(SMALLER_TEMPLATE.to_owned()),
        Body::Customer { template, key } => Some(customer_body(
            &format!("t{template}"),
            &format!("key {key}"),
            1,
        )),
        Body::Dispatching { template } => Some(dispatching_body(&format!("t{template}"))),
        Body::Drain { leaving: true } => Some(r#"{ "state": "leaving" }"#.to_owned()),
        Body::Drain { leaving: false } => Some(r#"{ "state": "live" }"#.to_owned()),
        Body::Broken => Some("{ \"services\": ".to_owned()),
        Body::Delete => None,
    }
}

/// The stream produced by the steps, with the verdicts of the reference implementation on each entry.
struct Scenario {
    entries: Vec<Entry>,
    reference: Reference,
    kinds: Vec<Vec<Kind>>,
    /// The fold before each offset.
    states: Vec<Fold>,
}

struct Sent {
    host: id::Host,
    sequence: u64,
    put: Put,
}

/// A checkpoint that is appended at a later step.
struct DelayedCheckpoint {
    at: usize,
    host: id::Host,
    parts: Vec<Record>,
}

#[derive(Default)]
struct StreamBuilder {
    log: Memory,
    reference: Reference,
    fold: Fold,
    kinds: Vec<Vec<Kind>>,
    states: Vec<Fold>,
    sequence: u64,
}

impl StreamBuilder {
    fn push(&mut self, host: id::Host, sequence: u64, records: Vec<Record>) {
        self.push_payload(envelope(host, sequence, records).encode());
    }

    fn push_payload(&mut self, payload: Bytes) {
        let offset = self.log.push(Stream::Config, payload.clone());
        let entry = Entry { offset, payload };
        self.states.push(self.fold.clone());
        self.fold.apply(&entry);
        self.kinds.push(self.reference.apply(&entry));
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

fn build_scenario(steps: Vec<Step>) -> Scenario {
    let mut builder = StreamBuilder::default();
    let mut sent: Vec<Sent> = Vec::new();
    let mut delayed: Vec<DelayedCheckpoint> = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        for checkpoint in delayed.extract_if(.., |delayed| delayed.at <= number) {
            for part in checkpoint.parts {
                let sequence = builder.next_sequence();
                builder.push(checkpoint.host, sequence, vec![part]);
            }
        }
        match step {
            Step::Put {
                object: of,
                base,
                body: text,
                operator,
            } => {
                let object = object(of);
                let current = builder
                    .reference
                    .objects
                    .get(&object)
                    .map(|kept| kept.revision);
                let base = match base {
                    Base::Current => current,
                    Base::None => None,
                    Base::Stale(revision) => Some(revision),
                };
                let change = number as u128;
                let put = put(change, object, base, body(text).as_deref());
                let host = u32::from(operator);
                let sequence = builder.next_sequence();
                builder.push(host, sequence, vec![Record::Put(put.clone())]);
                sent.push(Sent {
                    host,
                    sequence,
                    put,
                });
            }
            Step::Resend {
                which,
                same_envelope,
            } if !sent.is_empty() => {
                let fresh = builder.next_sequence();
                let Sent {
                    host,
                    sequence,
                    put,
                } = which.get(&sent);
                let sequence = if same_envelope { *sequence } else { fresh };
                builder.push(*host, sequence, vec![Record::Put(put.clone())]);
            }
            Step::Resend { .. } | Step::Garbage => {
                builder.push_payload(Bytes::from_static(b"\x01garbage"));
            }
            Step::Checkpoint { host, later } => delayed.push(DelayedCheckpoint {
                at: number + usize::from(later),
                host: 10 + u32::from(host),
                parts: checkpoint::parts(builder.fold.state()),
            }),
        }
    }
    builder.states.push(builder.fold.clone());
    Scenario {
        entries: entries(&builder.log),
        reference: builder.reference,
        kinds: builder.kinds,
        states: builder.states,
    }
}

impl Scenario {
    fn entry_count(&self) -> usize {
        self.entries.len()
    }

    fn last(&self) -> &Fold {
        &self.states[self.entry_count()]
    }

    /// Compares the verdicts of a host with those of the reference implementation.
    fn check_verdicts(&self, judged: &[Judged]) -> Result<(), TestCaseError> {
        for judged in judged {
            let kinds = &self.kinds[judged.offset as usize];
            prop_assert_eq!(&kinds[..], &[Kind::from(&judged.verdict)], "{:?}", judged);
        }
        Ok(())
    }

    /// Returns whether the entries from `first` on contain a checkpoint that covers all entries before.
    fn has_checkpoint(&self, first: usize) -> bool {
        let parts = self.entries[first..].iter().filter_map(|entry| {
            let envelope = tinbank_base::record::Envelope::<Record>::decode(&entry.payload);
            envelope.ok()?.records.into_iter().next()
        });
        parts.into_iter().any(|record| {
            // All states of this test fit into one part.
            matches!(record, Record::Checkpoint { through, parts: 1, .. } if through + 1 >= first as u64)
        })
    }
}

/// How a host receives the next entries.
#[derive(Clone, Debug)]
enum Delivery {
    Log(Index),
    Peer(Index),
    PeerCheckpoint(Index),
    OldCheckpoint(Index),
    OldEntries(Index),
    /// Entries in between are missing, as after a lost frame.
    Gap(Index),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        any::<Index>().prop_map(Delivery::Log),
        any::<Index>().prop_map(Delivery::Peer),
        any::<Index>().prop_map(Delivery::PeerCheckpoint),
        any::<Index>().prop_map(Delivery::OldCheckpoint),
        any::<Index>().prop_map(Delivery::OldEntries),
        any::<Index>().prop_map(Delivery::Gap),
    ]
}

fn synthetic_checkpoint(fold: &Fold) -> Vec<Entry> {
    fold.synthetic_checkpoint(|part| envelope(99, 0, vec![part]).encode())
}

/// Delivers entries to a host and returns its verdicts.
fn deliver(host: &mut Fold, delivery: &Delivery, scenario: &Scenario) -> Vec<Judged> {
    let next = host.state().next() as usize;
    let upto = |index: &Index| next + index.index(scenario.entry_count() - next + 1);
    match delivery {
        Delivery::Log(index) => scenario.entries[next..upto(index)]
            .iter()
            .flat_map(|entry| host.apply(entry))
            .collect(),
        Delivery::Peer(index) => host.apply_from_peer(&scenario.entries[next..upto(index)]),
        Delivery::PeerCheckpoint(index) => {
            host.apply_from_peer(&synthetic_checkpoint(&scenario.states[upto(index)]))
        }
        Delivery::Gap(index) => {
            let missing = 1 + upto(index);
            host.apply_from_peer(scenario.entries.get(missing..).unwrap_or_default())
        }
        Delivery::OldCheckpoint(index) => {
            let old = index.index(next + 1);
            host.apply_from_peer(&synthetic_checkpoint(&scenario.states[old]))
        }
        Delivery::OldEntries(index) => {
            let old = index.index(next + 1);
            host.apply_from_peer(&scenario.entries[old..next])
        }
    }
}

proptest! {
    #![proptest_config(property::config(200))]

    #[test]
    fn all_hosts_reach_the_verdicts_of_the_reference_implementation(
        steps in prop::collection::vec(step(), 1..80),
        deliveries in prop::collection::vec(delivery(), 0..12),
    ) {
        let scenario = build_scenario(steps);

        // A host that reads the whole stream.
        let mut reader = Fold::default();
        let judged: Vec<Judged> = scenario.entries.iter().flat_map(|entry| reader.apply(entry)).collect();
        scenario.check_verdicts(&judged)?;
        prop_assert_eq!(judged.len(), scenario.kinds.concat().len());
        let objects: Vec<_> = reader
            .state()
            .objects()
            .map(|(object, held)| (object.clone(), held.revision, held.body.as_deref().map(str::to_owned)))
            .collect();
        let expected: Vec<_> = scenario
            .reference
            .objects
            .iter()
            .map(|(object, kept)| (object.clone(), kept.revision, Some(kept.body.clone())))
            .collect();
        prop_assert_eq!(objects, expected);

        // A host that receives the entries in various ways. Its state never goes back to an earlier offset.
        let mut host = Fold::default();
        for delivery in &deliveries {
            let before = host.clone();
            let judged = deliver(&mut host, delivery, &scenario);
            scenario.check_verdicts(&judged)?;
            prop_assert!(host.state().next() >= before.state().next());
            prop_assert!(
                host.state().next() > before.state().next() || host.state() == before.state()
            );
            let expected = &scenario.states[host.state().next() as usize];
            prop_assert_eq!(host.state(), expected.state());
        }
    }

    #[test]
    fn a_host_that_starts_from_a_trimmed_stream_reaches_the_same_verdicts(
        steps in prop::collection::vec(step(), 1..80),
        cut in any::<Index>(),
        offer_at in any::<Index>(),
        offer in any::<Index>(),
    ) {
        let scenario = build_scenario(steps);
        // Steps that only create checkpoints may produce no entry that could be trimmed.
        prop_assume!(scenario.entry_count() > 0);
        let first = 1 + cut.index(scenario.entry_count());
        let mut host = Fold::default();
        host.on_trimmed(first as u64);

        let offer_at = first + offer_at.index(scenario.entry_count() - first + 1);
        for (offset, entry) in scenario.entries.iter().enumerate().skip(first) {
            // A peer may close the gap while the host reads.
            if offset == offer_at {
                let at = offer.index(scenario.entry_count() + 1);
                scenario.check_verdicts(&host.apply_from_peer(&synthetic_checkpoint(&scenario.states[at])))?;
            }
            let judged = host.apply(entry);
            scenario.check_verdicts(&judged)?;
            let expected = &scenario.states[host.state().next() as usize];
            prop_assert_eq!(host.state(), expected.state());
        }

        if scenario.has_checkpoint(first) {
            prop_assert!(!host.has_gap());
        }
        if !host.has_gap() && first < scenario.entry_count() {
            prop_assert_eq!(host.state(), scenario.last().state());
        }
        host.apply_from_peer(&synthetic_checkpoint(scenario.last()));
        prop_assert!(!host.has_gap());
        prop_assert_eq!(host.state(), scenario.last().state());
    }
}

#[test]
fn changes_leave_the_deduplication_window_at_the_same_offset_on_all_hosts() {
    let log = Memory::new();
    push_put(&log, 1, put(1, template("t"), None, Some(TEMPLATE)));
    push_put(&log, 2, put(2, template("t"), Some(0), None));
    for _ in 2..WINDOW_OFFSETS {
        log.push(Stream::Config, Bytes::new());
    }
    let mut before = Fold::default();
    for entry in entries(&log) {
        before.apply(&entry);
    }
    let mut restored = Fold::default();
    restored.apply_from_peer(&synthetic_checkpoint(&before));
    // The first change has just left the window, so its duplicate counts as a new change.
    push_put(&log, 9, put(1, template("t"), None, Some(TEMPLATE)));
    let last = entries(&log).pop().unwrap();

    let judged = before.apply(&last);
    let judged_by_restored = restored.apply(&last);

    assert_eq!(
        Kind::from(&judged[0].verdict),
        Kind::Accepted(WINDOW_OFFSETS)
    );
    assert_eq!(judged, judged_by_restored);
    assert_eq!(before.state(), restored.state());
}

#[test]
fn a_checkpoint_with_a_missing_part_is_ignored() {
    let mut fold = Fold::default();
    let log = Memory::new();
    push_put(&log, 1, put(1, template("t"), None, Some(TEMPLATE)));
    let big = format!(
        "{{ \"template\": \"t\", \"key_sha256\": [] }}{}",
        " ".repeat(100_000)
    );
    for number in 2..6 {
        let object = customer(&format!("c{number}"));
        push_put(&log, number, put(number.into(), object, None, Some(&big)));
    }
    for entry in entries(&log) {
        fold.apply(&entry);
    }
    let parts = checkpoint::parts(fold.state());
    let count = parts.len();
    for (sequence, part) in (10..).zip(parts) {
        push(&log, 7, sequence, vec![part]);
    }
    let trimmed: Vec<Entry> = entries(&log).split_off(5);

    let mut whole = Fold::default();
    whole.on_trimmed(5);
    let mut missing = whole.clone();
    for (number, entry) in trimmed.iter().enumerate() {
        whole.apply(entry);
        if number != 1 {
            missing.apply(entry);
        }
    }

    assert!(count > 2);
    assert!(!whole.has_gap());
    assert_eq!(whole.state().objects().count(), 5);
    assert!(missing.has_gap());
}
