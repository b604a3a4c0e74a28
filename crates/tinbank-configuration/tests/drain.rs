//! Draining of hosts and upstreams by operators.

use std::net::{Ipv4Addr, SocketAddr};

use tinbank_base::{
    id,
    platform::hosts::{Kind, List, Member, State, Upstream},
    record::config::Object,
};
use tinbank_configuration::{check, drain::Leaving};

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

#[test]
fn drained_hosts_and_upstreams_are_leaving_and_the_others_keep_their_state() {
    let list = list();
    let mut leaving = Leaving::default();
    leaving.set(&Object::Host(1), State::Leaving);
    leaving.set(&Object::Upstream(7), State::Leaving);

    let overlaid = leaving.overlay(&list);

    let members: Vec<State> = overlaid.members.iter().map(|member| member.state).collect();
    let upstreams: Vec<State> = overlaid
        .upstreams
        .iter()
        .map(|upstream| upstream.state)
        .collect();
    assert_eq!(members, [State::Leaving, State::Live]);
    assert_eq!(upstreams, [State::Leaving, State::Live, State::Leaving]);
    assert_eq!(overlaid.version, list.version);
}

#[test]
fn hosts_and_upstreams_returned_to_use_keep_the_state_of_the_platform() {
    let list = list();
    let mut leaving = Leaving::default();
    for state in [State::Leaving, State::Live] {
        leaving.set(&Object::Host(1), state);
        leaving.set(&Object::Upstream(7), state);
    }

    assert_eq!(leaving, Leaving::default());
    assert_eq!(leaving.overlay(&list), list);
}

#[test]
fn mistakes_in_a_drain_are_reported_with_their_positions() {
    let findings =
        check::drain("{\n  \"state\": \"away\"\n}").expect_err("the state does not exist");

    assert_eq!(findings[0].line, 2, "{findings:?}");
    assert!(check::drain(r#"{ "state": "leaving" }"#).is_ok());
    assert!(check::drain(r#"{ "state": "leaving", "until": 3 }"#).is_err());
}

fn list() -> List {
    List {
        version: 3,
        upstreams: vec![
            upstream(7, State::Live),
            upstream(8, State::Live),
            upstream(9, State::Leaving),
        ],
        members: vec![member(1), member(2)],
    }
}

fn upstream(upstream: id::Upstream, state: State) -> Upstream {
    Upstream {
        upstream,
        name: format!("engine-{upstream}"),
        kind: Kind::Engine,
        pools: ["notes".to_owned()].into_iter().collect(),
        address: ADDRESS,
        failure_domain: "logan".to_owned(),
        checks_fence: true,
        slots: None,
        state,
    }
}

fn member(host: id::Host) -> Member {
    Member {
        process: id::Process {
            host,
            role: id::Role::Batch,
        },
        peer: ADDRESS,
        http: ADDRESS,
        failure_domain: "logan".to_owned(),
        state: State::Live,
    }
}
