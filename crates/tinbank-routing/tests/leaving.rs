//! Leaving upstreams: the first sign counts, and a stale list or word brings nothing back.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_base::{
    frame::heartbeat::Leaving,
    id,
    platform::hosts::{Kind, List, State, Upstream},
};
use tinbank_routing::leaving::{GOSSIP, HOLD, Tracker};
use tinbank_test_support::property;

const ENGINE: id::Upstream = 7;

fn list(version: u64, state: Option<State>) -> List {
    let upstream = |state| Upstream {
        upstream: ENGINE,
        name: "engine-7".to_owned(),
        kind: Kind::Engine,
        pools: Default::default(),
        address: ([127, 0, 0, 1], 80).into(),
        failure_domain: "here".to_owned(),
        checks_fence: false,
        slots: None,
        state,
    };
    List {
        version,
        upstreams: state.map(upstream).into_iter().collect(),
        members: vec![],
    }
}

fn live(version: u64) -> List {
    list(version, Some(State::Live))
}

fn gone(version: u64) -> List {
    list(version, Some(State::Leaving))
}

fn tracker(version: u64, now: Instant) -> Tracker {
    let mut tracker = Tracker::default();
    tracker.list(&live(version), now);
    tracker
}

#[test]
fn the_engine_s_own_word_counts_at_once() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);

    assert!(tracker.sign(ENGINE, now));

    assert!(tracker.is_leaving(ENGINE, now));
    let word = Leaving {
        upstream: ENGINE,
        list: 5,
    };
    assert_eq!(tracker.news(now).as_slice(), [word]);
}

#[yare::parameterized(
    leaving = { gone(6) },
    no_longer_listed = { list(6, None) },
)]
fn what_the_list_says_first_is_passed_on_to_peers_that_have_not_read_it(list: List) {
    let now = Instant::now();
    let mut reader = tracker(5, now);
    let mut peer = tracker(5, now);

    reader.list(&list, now);
    let news = reader.news(now);
    let heard: Vec<_> = news.iter().map(|word| peer.hear(*word, now)).collect();

    assert_eq!(heard, [true]);
    assert!(peer.is_leaving(ENGINE, now));
    // The list that has it live again ends the word at the reader and at the peer.
    reader.list(&live(7), now);
    peer.list(&list, now);
    peer.list(&live(7), now);
    assert!(!reader.is_leaving(ENGINE, now));
    assert!(!peer.is_leaving(ENGINE, now));
}

/// What operators drain and return is laid over the platform's list, whose version stays.
#[test]
fn what_operators_return_within_a_version_of_the_list_gets_work_at_once() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);

    tracker.list(&gone(5), now);
    let drained = tracker.is_leaving(ENGINE, now);
    let news = tracker.news(now);
    tracker.list(&live(5), now);

    assert!(drained);
    assert!(news.is_empty(), "every process reads it itself: {news:?}");
    assert!(!tracker.is_leaving(ENGINE, now));
}

#[test]
fn a_lagging_list_does_not_bring_it_back() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.sign(ENGINE, now);

    // Newer for another reason, and still lagging.
    tracker.list(&live(6), now);
    tracker.list(&live(4), now);

    assert!(tracker.is_leaving(ENGINE, now));
}

#[test]
fn it_is_back_when_a_list_shows_it_live_again() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.sign(ENGINE, now);

    tracker.list(&gone(6), now);
    assert!(tracker.is_leaving(ENGINE, now));
    tracker.list(&live(9), now);

    assert!(!tracker.is_leaving(ENGINE, now));
    assert!(tracker.news(now).is_empty());
}

#[test]
fn a_word_from_before_its_return_is_stale() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.list(&gone(6), now);
    tracker.list(&live(9), now);

    let news = tracker.hear(
        Leaving {
            upstream: ENGINE,
            list: 5,
        },
        now,
    );

    assert!(!news);
    assert!(!tracker.is_leaving(ENGINE, now));
}

#[test]
fn a_peer_s_word_counts_though_our_list_is_newer() {
    let now = Instant::now();
    let mut tracker = tracker(8, now);

    let news = tracker.hear(
        Leaving {
            upstream: ENGINE,
            list: 5,
        },
        now,
    );

    assert!(news);
    assert!(tracker.is_leaving(ENGINE, now));
}

#[test]
fn a_sign_that_nothing_confirms_ends() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.sign(ENGINE, now);

    assert!(tracker.news(now + GOSSIP).is_empty());
    assert!(tracker.is_leaving(ENGINE, now + HOLD - Duration::from_millis(1)));
    assert!(!tracker.is_leaving(ENGINE, now + HOLD));
}

#[test]
fn an_echo_of_our_own_word_is_no_news() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.sign(ENGINE, now);

    let echoes = (1..100_u64).filter(|second| {
        let later = now + Duration::from_secs(*second / 10);
        tracker.hear(
            Leaving {
                upstream: ENGINE,
                list: 5,
            },
            later,
        )
    });

    assert_eq!(echoes.count(), 0);
}

#[derive(Clone, Debug)]
enum Step {
    /// The platform's list changes, for this engine or for another reason.
    Platform(Option<bool>),
    /// A host reads the list as it was some versions ago.
    Read { host: usize, behind: usize },
    /// The engine tells a host that it is leaving.
    Sign { host: usize },
    /// A host tells another what it knows.
    Gossip { from: usize, to: usize },
}

const HOSTS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        prop::option::of(any::<bool>()).prop_map(Step::Platform),
        (0..HOSTS, 0_usize..3).prop_map(|(host, behind)| Step::Read { host, behind }),
        (0..HOSTS).prop_map(|host| Step::Sign { host }),
        (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| Step::Gossip { from, to }),
    ]
}

proptest! {
    #![proptest_config(property::config(2_000))]

    /// The naive version keeps, for each host, the newest list that a sign was given under, the list that the host has in
    /// force, and the one in which it saw the engine come back.
    #[test]
    fn only_a_return_on_the_list_ends_a_sign(steps in prop::collection::vec(step(), 1..60)) {
        let now = Instant::now();
        let mut platform = vec![true];
        let mut hosts: Vec<Tracker> = (0..HOSTS).map(|_| tracker(0, now)).collect();
        let mut naive = [Naive::default(); HOSTS];
        for step in steps {
            match step {
                Step::Platform(change) => {
                    let last = platform[platform.len() - 1];
                    platform.push(change.unwrap_or(last));
                }
                Step::Read { host, behind } => {
                    let version = (platform.len() - 1).saturating_sub(behind);
                    let is_live = platform[version];
                    let list = if is_live { live(version as u64) } else { gone(version as u64) };
                    hosts[host].list(&list, now);
                    naive[host].read(version as u64, is_live);
                }
                Step::Sign { host } => {
                    hosts[host].sign(ENGINE, now);
                    naive[host].sign(naive[host].version);
                }
                Step::Gossip { from, to } => {
                    for word in hosts[from].news(now) {
                        hosts[to].hear(word, now);
                        if word.list >= naive[to].returned {
                            naive[to].sign(word.list);
                        }
                    }
                }
            }
            for host in 0..HOSTS {
                let expected = naive[host].signed.is_some() || naive[host].is_gone;
                prop_assert_eq!(hosts[host].is_leaving(ENGINE, now), expected, "host {}", host);
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Naive {
    version: u64,
    is_gone: bool,
    returned: u64,
    signed: Option<u64>,
}

impl Naive {
    fn read(&mut self, version: u64, is_live: bool) {
        if version < self.version {
            return;
        }
        self.version = version;
        if is_live && self.is_gone {
            self.returned = version;
            self.signed = self.signed.filter(|signed| *signed >= version);
        }
        self.is_gone = !is_live;
    }

    fn sign(&mut self, version: u64) {
        self.signed = self.signed.max(Some(version));
    }
}
