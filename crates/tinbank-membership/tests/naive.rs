//! Membership against a naive version with global knowledge, and the merge with the platform's host list.

mod network;

use std::{sync::Arc, time::Duration};

use network::{Network, address, listed, processes};
use proptest::{prelude::*, test_runner::RngSeed};
use tinbank_base::{
    frame::heartbeat::{Health, Leaving},
    id::{Process, Role},
    peer::Member,
    platform::hosts,
};
use tinbank_membership::{
    rendezvous::{self, Key},
    state::{Action, Ahead, Event},
};

const HOSTS: u32 = 4;

fn online(host: u32) -> Process {
    Process {
        host,
        role: Role::Online,
    }
}

fn list(version: u64, members: Vec<hosts::Member>) -> Event {
    Event::Hosts(Arc::new(hosts::List {
        version,
        members,
        upstreams: Vec::new(),
    }))
}

fn upstream(number: u32, state: hosts::State) -> hosts::Upstream {
    hosts::Upstream {
        upstream: number,
        name: format!("engine-{number}"),
        kind: hosts::Kind::Engine,
        pools: Default::default(),
        address: "10.1.0.1:80".parse().unwrap(),
        failure_domain: "logan".into(),
        checks_fence: true,
        slots: Some(8),
        state,
    }
}

fn upstreams(version: u64, state: hosts::State) -> Event {
    Event::Hosts(Arc::new(hosts::List {
        version,
        upstreams: vec![upstream(7, state)],
        members: Vec::new(),
    }))
}

#[test]
fn a_listed_process_counts_until_it_is_found_dead() {
    let mut network = Network::new(1);
    network.start(online(1));
    network.event(online(1), list(1, vec![listed(online(2))]));

    assert_eq!(network.alive(online(1)), [online(1), online(2)]);
    network.run(Duration::from_secs(20));
    assert_eq!(network.alive(online(1)), [online(1)]);
}

#[test]
fn a_process_that_is_heard_of_counts_though_it_is_not_listed() {
    let mut network = Network::joined(HOSTS, 2);

    network.event(online(1), list(1, vec![listed(online(2))]));

    assert!(network.agree());
}

#[test]
fn a_process_that_the_platform_takes_away_gets_no_new_work() {
    let mut network = Network::joined(HOSTS, 3);
    let leaving = hosts::Member {
        state: hosts::State::Leaving,
        ..listed(online(2))
    };

    network.event(online(1), list(1, vec![leaving]));

    let view = network.view(online(1));
    assert_eq!(view.get(online(2)).unwrap().health, Health::Leaving);
    assert_eq!(view.ready(Role::Online).count(), HOSTS as usize - 1);
}

#[test]
fn a_leaving_upstream_stays_so_until_a_later_list_has_it_live() {
    let mut network = Network::joined(HOSTS, 4);
    let news = Leaving {
        upstream: 7,
        list: 5,
    };
    network.event(online(1), Event::UpstreamLeaving(news));
    let leaving = |network: &Network| network.state(online(1)).leaving();

    network.event(online(1), upstreams(5, hosts::State::Live));
    assert_eq!(leaving(&network), [news], "the list it was seen live in");
    network.event(online(1), upstreams(6, hosts::State::Leaving));
    assert_eq!(leaving(&network), [news], "a later list that says the same");
    network.event(online(1), upstreams(7, hosts::State::Live));
    assert_eq!(leaving(&network), [], "a later list that has it live");
    network.event(online(1), Event::UpstreamLeaving(news));
    assert_eq!(leaving(&network), [], "old news");
}

#[test]
fn an_upstream_that_the_list_drops_to_leaving_is_passed_on() {
    let mut network = Network::joined(HOSTS, 5);

    network.event(online(1), upstreams(1, hosts::State::Live));
    network.event(online(1), upstreams(2, hosts::State::Leaving));
    network.run(Duration::from_secs(1));

    let expected = [Leaving {
        upstream: 7,
        list: 1,
    }];
    for process in network.up() {
        assert_eq!(network.state(process).leaving(), expected);
    }
}

#[test]
fn a_peer_whose_configuration_is_ahead_is_named_until_we_have_caught_up() {
    let mut network = Network::joined(HOSTS, 6);
    let now = network.now;
    let mut state = network.state(online(1)).clone();
    network.event(online(2), Event::Config(40));
    let heartbeat = network.state(online(2)).clone().handle(Event::Tick, now);
    let sent = heartbeat.into_iter().find_map(|action| match action {
        Action::Send { heartbeat, .. } => Some(heartbeat),
        _ => None,
    });
    let from = network.view(online(2)).get(online(2)).unwrap().writer;
    let event = Event::Heard {
        from,
        heartbeat: sent.unwrap(),
    };

    let ahead = Ahead {
        peer: address(online(2)),
        config: 40,
    };
    assert!(
        state
            .handle(event, now)
            .contains(&Action::Ahead(Some(ahead)))
    );
    let caught_up = state.handle(Event::Config(40), now);
    assert!(caught_up.contains(&Action::Ahead(None)));
}

#[derive(Clone, Debug)]
enum Step {
    Kill(u32),
    Restart(u32),
    Cut(usize),
    Join,
    Lose(u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..=HOSTS).prop_map(Step::Kill),
        (1..=HOSTS).prop_map(Step::Restart),
        (0_usize..3).prop_map(Step::Cut),
        Just(Step::Join),
        (0_u32..30).prop_map(Step::Lose),
        (1_u64..20).prop_map(Step::Wait),
    ]
}

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed(24))]

    /// The naive version knows who is up; after a quiet time every process must agree with it.
    #[test]
    fn after_any_failures_all_agree_with_global_knowledge(
        steps in proptest::collection::vec(step(), 1..20),
        seed in any::<u64>(),
    ) {
        let mut network = Network::joined(HOSTS, seed);

        for step in steps {
            match step {
                Step::Kill(host) => processes(HOSTS)
                    .into_iter()
                    .filter(|process| process.host == host)
                    .for_each(|process| network.kill(process)),
                Step::Restart(host) => network.start(online(host)),
                Step::Cut(domain) => network.cut_off = Some(domain),
                Step::Join => network.cut_off = None,
                Step::Lose(loss) => network.loss = loss,
                Step::Wait(seconds) => network.run(Duration::from_secs(seconds)),
            }
        }
        network.cut_off = None;
        network.loss = 0;
        network.run(Duration::from_secs(60));

        prop_assert!(network.agree());
    }
}

fn member(host: u32) -> Member {
    let network = {
        let mut network = Network::new(1);
        network.start(online(host));
        network
    };
    network.view(online(host)).members.remove(0)
}

proptest! {
    #![proptest_config(fixed(64))]

    #[test]
    fn the_loss_of_a_member_moves_only_what_it_was_first_for(
        hosts in proptest::collection::btree_set(1_u32..500, 2..30),
        shard in any::<u16>(),
        lost in any::<prop::sample::Index>(),
    ) {
        let members: Vec<_> = hosts.into_iter().map(member).collect();
        let key = Key::Shard(shard);
        let lost = lost.index(members.len());
        let before = rendezvous::rank(&members, key);
        let mut fewer = members.clone();
        fewer.remove(lost);
        fewer.reverse();

        let after = rendezvous::rank(&fewer, key);

        let kept: Vec<_> = before.into_iter().filter(|kept| **kept != members[lost]).collect();
        prop_assert_eq!(kept, after);
    }
}

#[test]
fn ranks_share_keys_out_evenly() {
    let members: Vec<_> = (1..=10).map(member).collect();
    let mut counts = [0_u32; 10];

    for number in 0..1_000 {
        let first = rendezvous::rank(&members, Key::Upstream(number))[0];
        counts[first.writer.process.host as usize - 1] += 1;
    }

    assert!(
        counts.iter().all(|count| (60..150).contains(count)),
        "{counts:?}"
    );
}
