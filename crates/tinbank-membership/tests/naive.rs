//! Membership against a model with global knowledge, and the merge with the platform's host list.

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
fn a_listed_process_is_alive_until_it_is_declared_dead() {
    let mut network = Network::new(1);
    network.start(online(1));
    network.event(online(1), list(1, vec![listed(online(2))]));

    assert_eq!(network.alive(online(1)), [online(1), online(2)]);
    network.run(Duration::from_secs(20));
    assert_eq!(network.alive(online(1)), [online(1)]);
}

#[test]
fn an_unlisted_process_with_heartbeats_is_alive() {
    let mut network = Network::joined(HOSTS, 2);

    network.event(online(1), list(1, vec![listed(online(2))]));

    assert!(network.agree());
}

#[test]
fn a_process_listed_as_leaving_is_not_ready() {
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
fn an_upstream_is_leaving_until_a_later_list_has_it_live() {
    let mut network = Network::joined(HOSTS, 4);
    let update = Leaving {
        upstream: 7,
        list: 5,
    };
    network.event(online(1), Event::UpstreamLeaving(update));
    let leaving = |network: &Network| network.state(online(1)).leaving();

    network.event(online(1), upstreams(5, hosts::State::Live));
    assert_eq!(
        leaving(&network),
        [update],
        "the list that last had it live"
    );
    network.event(online(1), upstreams(6, hosts::State::Leaving));
    assert_eq!(
        leaving(&network),
        [update],
        "a later list that says the same"
    );
    network.event(online(1), upstreams(7, hosts::State::Live));
    assert_eq!(leaving(&network), [], "a later list that has it live");
    network.event(online(1), Event::UpstreamLeaving(update));
    assert_eq!(leaving(&network), [], "an update older than the list");
}

#[test]
fn an_upstream_that_becomes_leaving_in_the_list_is_gossiped() {
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
fn a_peer_is_published_as_ahead_until_the_configuration_has_caught_up() {
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
    let event = Event::Heartbeat {
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
    Isolate(usize),
    Join,
    Lose(u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..=HOSTS).prop_map(Step::Kill),
        (1..=HOSTS).prop_map(Step::Restart),
        (0_usize..3).prop_map(Step::Isolate),
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

    /// The model knows which processes are up. Once failures stop, every process must agree with it.
    #[test]
    fn all_processes_agree_with_the_model_after_random_failures(
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
                Step::Isolate(domain) => network.isolated = Some(domain),
                Step::Join => network.isolated = None,
                Step::Lose(loss) => network.loss = loss,
                Step::Wait(seconds) => network.run(Duration::from_secs(seconds)),
            }
        }
        network.isolated = None;
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
    fn the_loss_of_a_member_keeps_the_order_of_the_others(
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
fn keys_are_distributed_evenly() {
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
