//! Hosts and upstreams that operators want left alone.

use std::net::{Ipv4Addr, SocketAddr};

use tinbank_base::{
    id,
    platform::hosts::{Kind, List, Member, State, Upstream},
    record::config::Object,
};
use tinbank_configuration::{check, drain::Leaving};

const HERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

#[test]
fn what_operators_drain_is_leaving_and_the_rest_stays_as_the_platform_says() {
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
fn what_is_returned_to_use_is_as_the_platform_says() {
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
fn a_drain_is_checked_with_the_place_of_each_mistake() {
    let findings = check::drain("{\n  \"state\": \"away\"\n}").expect_err("there is no such state");

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
        address: HERE,
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
        peer: HERE,
        http: HERE,
        failure_domain: "logan".to_owned(),
        state: State::Live,
    }
}
