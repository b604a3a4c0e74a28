//! Tracking of leaving upstreams: the first notice takes effect, and stale lists or updates don't end it.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_base::{
    frame::heartbeat::Leaving,
    id,
    platform::hosts::{Kind, List, State, Upstream},
};
use tinbank_routing::leaving::{GOSSIP_PERIOD, NOTICE_TTL, Tracker};
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

fn leaving_list(version: u64) -> List {
    list(version, Some(State::Leaving))
}

fn tracker(version: u64, now: Instant) -> Tracker {
    let mut tracker = Tracker::default();
    tracker.apply_list(&live(version), now);
    tracker
}

#[test]
fn own_notice_of_upstream_takes_effect_at_once() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);

    assert!(tracker.record_leaving(ENGINE, now));

    assert!(tracker.is_leaving(ENGINE, now));
    let update = Leaving {
        upstream: ENGINE,
        list: 5,
    };
    assert_eq!(tracker.updates(now).as_slice(), [update]);
}

#[yare::parameterized(
    leaving = { leaving_list(6) },
    no_longer_listed = { list(6, None) },
)]
fn departure_in_list_is_sent_to_peers(list: List) {
    let now = Instant::now();
    let mut reader = tracker(5, now);
    let mut peer = tracker(5, now);

    reader.apply_list(&list, now);
    let updates = reader.updates(now);
    let is_new: Vec<_> = updates
        .iter()
        .map(|update| peer.apply_update(*update, now))
        .collect();

    assert_eq!(is_new, [true]);
    assert!(peer.is_leaving(ENGINE, now));
    // A list that shows it live again ends the notice at both.
    reader.apply_list(&live(7), now);
    peer.apply_list(&list, now);
    peer.apply_list(&live(7), now);
    assert!(!reader.is_leaving(ENGINE, now));
    assert!(!peer.is_leaving(ENGINE, now));
}

/// Drains by operators are merged into the platform's list without a change of its version.
#[test]
fn operator_drain_and_return_within_one_list_version() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);

    tracker.apply_list(&leaving_list(5), now);
    let drained = tracker.is_leaving(ENGINE, now);
    let updates = tracker.updates(now);
    tracker.apply_list(&live(5), now);

    assert!(drained);
    assert!(
        updates.is_empty(),
        "drains are not sent to peers: {updates:?}"
    );
    assert!(!tracker.is_leaving(ENGINE, now));
}

#[test]
fn lagging_list_does_not_end_notice() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.record_leaving(ENGINE, now);

    // Newer by an unrelated change.
    tracker.apply_list(&live(6), now);
    tracker.apply_list(&live(4), now);

    assert!(tracker.is_leaving(ENGINE, now));
}

#[test]
fn list_that_shows_return_ends_notice() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.record_leaving(ENGINE, now);

    tracker.apply_list(&leaving_list(6), now);
    assert!(tracker.is_leaving(ENGINE, now));
    tracker.apply_list(&live(9), now);

    assert!(!tracker.is_leaving(ENGINE, now));
    assert!(tracker.updates(now).is_empty());
}

#[test]
fn update_from_before_return_is_ignored() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.apply_list(&leaving_list(6), now);
    tracker.apply_list(&live(9), now);

    let is_new = tracker.apply_update(
        Leaving {
            upstream: ENGINE,
            list: 5,
        },
        now,
    );

    assert!(!is_new);
    assert!(!tracker.is_leaving(ENGINE, now));
}

#[test]
fn update_with_older_list_version_is_applied() {
    let now = Instant::now();
    let mut tracker = tracker(8, now);

    let is_new = tracker.apply_update(
        Leaving {
            upstream: ENGINE,
            list: 5,
        },
        now,
    );

    assert!(is_new);
    assert!(tracker.is_leaving(ENGINE, now));
}

#[test]
fn unconfirmed_notice_expires() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.record_leaving(ENGINE, now);

    assert!(tracker.updates(now + GOSSIP_PERIOD).is_empty());
    assert!(tracker.is_leaving(ENGINE, now + NOTICE_TTL - Duration::from_millis(1)));
    assert!(!tracker.is_leaving(ENGINE, now + NOTICE_TTL));
}

#[test]
fn echoed_update_is_not_new() {
    let now = Instant::now();
    let mut tracker = tracker(5, now);
    tracker.record_leaving(ENGINE, now);

    let repeats = (1..100_u64).filter(|second| {
        let later = now + Duration::from_secs(*second / 10);
        tracker.apply_update(
            Leaving {
                upstream: ENGINE,
                list: 5,
            },
            later,
        )
    });

    assert_eq!(repeats.count(), 0);
}

#[derive(Clone, Debug)]
enum Step {
    /// The platform's list gets a new version, which may change the state of the engine.
    Platform(Option<bool>),
    /// A host reads the list of some versions ago.
    Read { host: usize, behind: usize },
    /// The engine reports to a host that it is leaving.
    Sign { host: usize },
    /// A host sends its updates to another.
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

    /// The reference keeps for each host the newest list version of a notice, the current list version, and the one in
    /// which the engine returned.
    #[test]
    fn only_return_in_list_ends_notice(steps in prop::collection::vec(step(), 1..60)) {
        let now = Instant::now();
        let mut platform = vec![true];
        let mut hosts: Vec<Tracker> = (0..HOSTS).map(|_| tracker(0, now)).collect();
        let mut references = [Reference::default(); HOSTS];
        for step in steps {
            match step {
                Step::Platform(change) => {
                    let last = platform[platform.len() - 1];
                    platform.push(change.unwrap_or(last));
                }
                Step::Read { host, behind } => {
                    let version = (platform.len() - 1).saturating_sub(behind);
                    let is_live = platform[version];
                    let list = if is_live { live(version as u64) } else { leaving_list(version as u64) };
                    hosts[host].apply_list(&list, now);
                    references[host].read(version as u64, is_live);
                }
                Step::Sign { host } => {
                    hosts[host].record_leaving(ENGINE, now);
                    references[host].sign(references[host].version);
                }
                Step::Gossip { from, to } => {
                    for update in hosts[from].updates(now) {
                        hosts[to].apply_update(update, now);
                        if update.list >= references[to].returned {
                            references[to].sign(update.list);
                        }
                    }
                }
            }
            for host in 0..HOSTS {
                let expected = references[host].signed.is_some() || references[host].is_gone;
                prop_assert_eq!(hosts[host].is_leaving(ENGINE, now), expected, "host {}", host);
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Reference {
    version: u64,
    is_gone: bool,
    returned: u64,
    signed: Option<u64>,
}

impl Reference {
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
