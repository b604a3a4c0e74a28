//! Racing operators against the naive rule, by every way that entries can reach a host.

#[path = "support/naive.rs"]
mod naive;
mod support;

use bytes::Bytes;
use naive::{Kind, Naive};
use proptest::{prelude::*, sample::Index};
use support::*;
use tinbank_base::{
    id,
    platform::log::{Entry, Stream},
    record::config::{Object, Put, Record},
};
use tinbank_configuration::fold::{Fold, Judged, WINDOW, checkpoint};
use tinbank_test_support::{log::Memory, property};

/// From which revision an operator made its change.
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
    /// A change is sent again, in the same envelope or in a new one.
    Again {
        which: Index,
        same_envelope: bool,
    },
    Garbage,
    /// A host takes a checkpoint and writes it some steps later, as slow hosts do.
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
            .prop_map(|(which, same_envelope)| Step::Again { which, same_envelope }),
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

/// The stream that the steps make, and what the naive rule says of each entry.
struct Story {
    entries: Vec<Entry>,
    naive: Naive,
    kinds: Vec<Vec<Kind>>,
    /// The state of a host that read everything, before each offset.
    states: Vec<Fold>,
}

struct Sent {
    host: id::Host,
    sequence: u64,
    put: Put,
}

/// A checkpoint that a host has taken and will write.
struct Slow {
    at: usize,
    host: id::Host,
    parts: Vec<Record>,
}

#[derive(Default)]
struct Teller {
    log: Memory,
    naive: Naive,
    fold: Fold,
    kinds: Vec<Vec<Kind>>,
    states: Vec<Fold>,
    sequence: u64,
}

impl Teller {
    fn push(&mut self, host: id::Host, sequence: u64, records: Vec<Record>) {
        self.push_payload(envelope(host, sequence, records).encode());
    }

    fn push_payload(&mut self, payload: Bytes) {
        let offset = self.log.push(Stream::Config, payload.clone());
        let entry = Entry { offset, payload };
        self.states.push(self.fold.clone());
        self.fold.apply(&entry);
        self.kinds.push(self.naive.apply(&entry));
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

fn tell(steps: Vec<Step>) -> Story {
    let mut teller = Teller::default();
    let mut sent: Vec<Sent> = Vec::new();
    let mut slow: Vec<Slow> = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        for checkpoint in slow.extract_if(.., |slow| slow.at <= number) {
            for part in checkpoint.parts {
                let sequence = teller.next_sequence();
                teller.push(checkpoint.host, sequence, vec![part]);
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
                let current = teller.naive.objects.get(&object).map(|kept| kept.revision);
                let base = match base {
                    Base::Current => current,
                    Base::None => None,
                    Base::Stale(revision) => Some(revision),
                };
                let change = number as u128;
                let put = put(change, object, base, body(text).as_deref());
                let host = u32::from(operator);
                let sequence = teller.next_sequence();
                teller.push(host, sequence, vec![Record::Put(put.clone())]);
                sent.push(Sent {
                    host,
                    sequence,
                    put,
                });
            }
            Step::Again {
                which,
                same_envelope,
            } if !sent.is_empty() => {
                let fresh = teller.next_sequence();
                let Sent {
                    host,
                    sequence,
                    put,
                } = which.get(&sent);
                let sequence = if same_envelope { *sequence } else { fresh };
                teller.push(*host, sequence, vec![Record::Put(put.clone())]);
            }
            Step::Again { .. } | Step::Garbage => {
                teller.push_payload(Bytes::from_static(b"\x01garbage"));
            }
            Step::Checkpoint { host, later } => slow.push(Slow {
                at: number + usize::from(later),
                host: 10 + u32::from(host),
                parts: checkpoint::parts(teller.fold.state()),
            }),
        }
    }
    teller.states.push(teller.fold.clone());
    Story {
        entries: entries(&teller.log),
        naive: teller.naive,
        kinds: teller.kinds,
        states: teller.states,
    }
}

impl Story {
    fn tail(&self) -> usize {
        self.entries.len()
    }

    fn last(&self) -> &Fold {
        &self.states[self.tail()]
    }

    /// Holds the verdicts of a host to those of the naive rule.
    fn agrees(&self, judged: &[Judged]) -> Result<(), TestCaseError> {
        for judged in judged {
            let kinds = &self.kinds[judged.offset as usize];
            prop_assert_eq!(&kinds[..], &[Kind::from(&judged.verdict)], "{:?}", judged);
        }
        Ok(())
    }

    /// Whether a host that finds nothing before `first` finds a checkpoint that reaches there.
    fn has_checkpoint(&self, first: usize) -> bool {
        let parts = self.entries[first..].iter().filter_map(|entry| {
            let envelope = tinbank_base::record::Envelope::<Record>::decode(&entry.payload);
            envelope.ok()?.records.into_iter().next()
        });
        parts.into_iter().any(|record| {
            // All states here fit into one part.
            matches!(record, Record::Checkpoint { through, parts: 1, .. } if through + 1 >= first as u64)
        })
    }
}

/// How a host comes by the next entries.
#[derive(Clone, Debug)]
enum Way {
    Log(Index),
    Peer(Index),
    PeerCheckpoint(Index),
    OldCheckpoint(Index),
    OldEntries(Index),
    /// What lies between is missing, as after a frame that was lost.
    Gapped(Index),
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![
        any::<Index>().prop_map(Way::Log),
        any::<Index>().prop_map(Way::Peer),
        any::<Index>().prop_map(Way::PeerCheckpoint),
        any::<Index>().prop_map(Way::OldCheckpoint),
        any::<Index>().prop_map(Way::OldEntries),
        any::<Index>().prop_map(Way::Gapped),
    ]
}

fn stand_ins(fold: &Fold) -> Vec<Entry> {
    fold.stand_ins(|part| envelope(99, 0, vec![part]).encode())
}

/// Lets a host go some way and returns the verdicts that it came to.
fn go(host: &mut Fold, way: &Way, story: &Story) -> Vec<Judged> {
    let next = host.state().next() as usize;
    let upto = |index: &Index| next + index.index(story.tail() - next + 1);
    match way {
        Way::Log(index) => story.entries[next..upto(index)]
            .iter()
            .flat_map(|entry| host.apply(entry))
            .collect(),
        Way::Peer(index) => host.offer(&story.entries[next..upto(index)]),
        Way::PeerCheckpoint(index) => host.offer(&stand_ins(&story.states[upto(index)])),
        Way::Gapped(index) => {
            let missing = 1 + upto(index);
            host.offer(story.entries.get(missing..).unwrap_or_default())
        }
        Way::OldCheckpoint(index) => {
            let old = index.index(next + 1);
            host.offer(&stand_ins(&story.states[old]))
        }
        Way::OldEntries(index) => {
            let old = index.index(next + 1);
            host.offer(&story.entries[old..next])
        }
    }
}

proptest! {
    #![proptest_config(property::config(200))]

    #[test]
    fn every_host_comes_to_the_naive_verdicts(
        steps in prop::collection::vec(step(), 1..80),
        ways in prop::collection::vec(way(), 0..12),
    ) {
        let story = tell(steps);

        // One that reads the whole stream.
        let mut reader = Fold::default();
        let judged: Vec<Judged> = story.entries.iter().flat_map(|entry| reader.apply(entry)).collect();
        story.agrees(&judged)?;
        prop_assert_eq!(judged.len(), story.kinds.concat().len());
        let objects: Vec<_> = reader
            .state()
            .objects()
            .map(|(object, held)| (object.clone(), held.revision, held.body.as_deref().map(str::to_owned)))
            .collect();
        let expected: Vec<_> = story
            .naive
            .objects
            .iter()
            .map(|(object, kept)| (object.clone(), kept.revision, Some(kept.body.clone())))
            .collect();
        prop_assert_eq!(objects, expected);

        // One that comes by the entries in other ways; it never goes back.
        let mut host = Fold::default();
        for way in &ways {
            let before = host.clone();
            let judged = go(&mut host, way, &story);
            story.agrees(&judged)?;
            prop_assert!(host.state().next() >= before.state().next());
            prop_assert!(
                host.state().next() > before.state().next() || host.state() == before.state()
            );
            let expected = &story.states[host.state().next() as usize];
            prop_assert_eq!(host.state(), expected.state());
        }
    }

    #[test]
    fn a_host_that_starts_from_a_trimmed_stream_agrees(
        steps in prop::collection::vec(step(), 1..80),
        cut in any::<Index>(),
        offer_at in any::<Index>(),
        offer in any::<Index>(),
    ) {
        let story = tell(steps);
        // A story of checkpoints alone may have no entry, and so nothing to trim.
        prop_assume!(story.tail() > 0);
        let first = 1 + cut.index(story.tail());
        let mut host = Fold::default();
        host.on_trimmed(first as u64);

        let offer_at = first + offer_at.index(story.tail() - first + 1);
        for (offset, entry) in story.entries.iter().enumerate().skip(first) {
            // A peer may bridge the gap while the host reads.
            if offset == offer_at {
                let at = offer.index(story.tail() + 1);
                story.agrees(&host.offer(&stand_ins(&story.states[at])))?;
            }
            let judged = host.apply(entry);
            story.agrees(&judged)?;
            let expected = &story.states[host.state().next() as usize];
            prop_assert_eq!(host.state(), expected.state());
        }

        if story.has_checkpoint(first) {
            prop_assert!(!host.incomplete());
        }
        if !host.incomplete() && first < story.tail() {
            prop_assert_eq!(host.state(), story.last().state());
        }
        host.offer(&stand_ins(story.last()));
        prop_assert!(!host.incomplete());
        prop_assert_eq!(host.state(), story.last().state());
    }
}

#[test]
fn changes_are_forgotten_at_the_same_offset_on_every_host() {
    let log = Memory::new();
    push_put(&log, 1, put(1, template("t"), None, Some(TEMPLATE)));
    push_put(&log, 2, put(2, template("t"), Some(0), None));
    for _ in 2..WINDOW {
        log.push(Stream::Config, Bytes::new());
    }
    let mut before = Fold::default();
    for entry in entries(&log) {
        before.apply(&entry);
    }
    let mut restored = Fold::default();
    restored.offer(&stand_ins(&before));
    // The window has just moved past the first change; its copy is a new change now.
    push_put(&log, 9, put(1, template("t"), None, Some(TEMPLATE)));
    let last = entries(&log).pop().unwrap();

    let judged = before.apply(&last);
    let judged_by_restored = restored.apply(&last);

    assert_eq!(Kind::from(&judged[0].verdict), Kind::Accepted(WINDOW));
    assert_eq!(judged, judged_by_restored);
    assert_eq!(before.state(), restored.state());
}

#[test]
fn a_checkpoint_with_a_part_missing_does_not_count() {
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
    assert!(!whole.incomplete());
    assert_eq!(whole.state().objects().count(), 5);
    assert!(missing.incomplete());
}
