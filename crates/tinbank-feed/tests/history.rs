//! Deltas for hosts that know an earlier position of a list.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use proptest::prelude::*;
use tinbank_base::id;
use tinbank_feed::{
    History,
    history::{List, Lookup},
    message::{Position, encode},
};
use tinbank_relay::upstream::Upstream;
use tinbank_test_support::property;

fn history(changes: &[(Position, u8)]) -> History<u8> {
    let mut history = History::default();
    history.reset(10);
    for (position, key) in changes {
        history.record(*position, *key);
    }
    history
}

#[test]
fn a_delta_has_each_key_that_changed_after_the_known_position_once() {
    let history = history(&[(12, 1), (14, 2), (14, 1), (20, 3)]);

    let from_start = history.changed_since(10);
    let later = history.changed_since(13);
    let latest = history.changed_since(20);

    assert_eq!(from_start, Some(BTreeSet::from([1, 2, 3])));
    assert_eq!(later, Some(BTreeSet::from([1, 2, 3])));
    assert_eq!(latest, Some(BTreeSet::new()));
}

#[test]
fn a_position_older_than_the_history_needs_the_whole_list() {
    let mut history = history(&[(12, 1), (14, 2), (20, 3)]);
    history.truncate(1);

    assert_eq!(history.changed_since(13), None);
    assert_eq!(history.changed_since(14), Some(BTreeSet::from([3])));
    assert_eq!(History::<u8>::default().changed_since(14), None);
}

/// Upstreams of which one in five is in the follower's scope.
struct Upstreams {
    upstreams: BTreeMap<id::Instance, Upstream>,
}

impl Upstreams {
    fn new(count: usize) -> Self {
        let upstreams = (0..count).map(|index| {
            let upstream = upstream(index);
            (upstream.instance.clone(), upstream)
        });
        Self {
            upstreams: upstreams.collect(),
        }
    }
}

fn upstream(index: usize) -> Upstream {
    Upstream {
        instance: format!("i-{index:010x}@1783204452002").into(),
        name: format!("i-{index:010x}").into(),
        address: SocketAddr::from(([10, 4, 0, 1], 8161)),
        service: "notes".to_owned(),
        failure_domain: format!("d{}", index % 5),
        slots: 8,
        leaving: false,
        build: "v1".into(),
        cold_until: None,
    }
}

impl List<Upstream, id::Instance> for Upstreams {
    fn all(&self) -> Vec<Upstream> {
        let all = self.upstreams.values();
        all.filter(|it| it.failure_domain == "d0")
            .cloned()
            .collect()
    }

    fn find(&self, key: &id::Instance) -> Lookup<Upstream> {
        match self.upstreams.get(key) {
            Some(it) if it.failure_domain == "d0" => Lookup::InScope(it.clone()),
            Some(_) => Lookup::OutOfScope,
            None => Lookup::Missing,
        }
    }
}

/// Returns the size of the delta of three changes: an upstream in scope, one out of scope, and a removed one.
fn delta_bytes(upstreams: usize) -> usize {
    let mut listed = Upstreams::new(upstreams);
    let mut history = History::default();
    history.reset(10);
    for index in [0, 1, 2] {
        history.record(12, upstream(index).instance);
    }
    listed.upstreams.remove(&upstream(2).instance);
    let delta = history.delta(Some(11), 12, &listed).unwrap();
    assert_eq!((delta.entries.len(), delta.gone.len()), (1, 1));
    encode(&delta).unwrap().len()
}

#[test]
fn the_size_of_a_delta_does_not_grow_with_the_fleet() {
    let small = delta_bytes(100);

    assert_eq!(delta_bytes(1_000), small);
    assert_eq!(delta_bytes(20_000), small);
}

#[test]
fn a_host_that_knows_more_gets_no_delta_and_a_new_host_the_whole_list() {
    let listed = Upstreams::new(100);
    let mut history = History::default();
    history.reset(10);

    let ahead = history.delta(Some(11), 10, &listed);
    let new = history.delta(None, 10, &listed).unwrap();

    assert_eq!(ahead, None);
    assert_eq!((new.is_whole, new.entries.len()), (true, 20));
}

/// A write to a list that two delegates read in batches of different sizes, each followed in turn.
#[derive(Clone, Debug)]
struct Write {
    key: u8,
    value: Option<u16>,
}

fn write() -> impl Strategy<Value = Write> {
    let value = proptest::option::of(0..9u16);
    (0..12u8, value).prop_map(|(key, value)| Write { key, value })
}

struct Delegate {
    list: BTreeMap<u8, u16>,
    position: Position,
    history: History<u8>,
}

impl Delegate {
    fn new() -> Self {
        let mut history = History::default();
        history.reset(0);
        Self {
            list: BTreeMap::new(),
            position: 0,
            history,
        }
    }

    fn read(&mut self, writes: &[Write], to: usize) {
        let from = self.position as usize;
        let to = to.max(from);
        for write in &writes[from..to] {
            match write.value {
                Some(value) => self.list.insert(write.key, value),
                None => self.list.remove(&write.key),
            };
            self.history.record(to as Position, write.key);
        }
        self.position = to as Position;
        self.history.truncate(4);
    }
}

proptest! {
    #![proptest_config(property::config(400))]
    #[test]
    fn a_follower_has_the_list_of_the_delegate_it_followed_last(
        writes in proptest::collection::vec(write(), 1..40),
        steps in proptest::collection::vec((0..2usize, 0..40usize), 1..30),
    ) {
        let mut delegates = [Delegate::new(), Delegate::new()];
        let mut known: Option<Position> = None;
        let mut list = BTreeMap::new();

        for (which, to) in steps {
            let delegate = &mut delegates[which];
            delegate.read(&writes, to.min(writes.len()));
            if known.is_some_and(|known| known > delegate.position) {
                continue;
            }
            match known.and_then(|known| delegate.history.changed_since(known)) {
                Some(keys) => for key in keys {
                    match delegate.list.get(&key) {
                        Some(value) => list.insert(key, *value),
                        None => list.remove(&key),
                    };
                },
                None => list = delegate.list.clone(),
            }
            known = Some(delegate.position);

            prop_assert_eq!(&list, &delegate.list);
        }
    }
}
