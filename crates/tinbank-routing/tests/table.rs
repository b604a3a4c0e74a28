//! Table of upstreams, as used by traffic threads and the control thread.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::{
    frame::{credit::Load, heartbeat::Leaving},
    id,
    outcome::{Code, Ran},
    platform::{
        hosts::{Kind, List, State, Upstream},
        upstream::{self, Report},
        weights::Artifact,
    },
};
use tinbank_configuration::{service::Service, template::Traffic};
use tinbank_routing::{
    Choice, RouteRequest, Router as _, Table, health::FIRST_EJECTION, leaving::NOTICE_TTL,
};
use yare::parameterized;

const POOL: &str = "notes";

fn artifact() -> Artifact {
    Artifact {
        model: "notes-8b".to_owned(),
        version: "1".to_owned(),
        adapter: None,
    }
}

fn service() -> Service {
    Service {
        kind: Kind::Engine,
        pool: POOL.to_owned(),
        artifact: Some(artifact()),
        max_tokens: 64,
        timeout: Duration::from_secs(10),
        repeatable: true,
        attempts: 4,
        limits: Default::default(),
    }
}

fn engine(number: id::Upstream) -> Upstream {
    Upstream {
        upstream: number,
        name: format!("engine-{number}"),
        kind: Kind::Engine,
        pools: [POOL.to_owned()].into_iter().collect(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        failure_domain: "here".to_owned(),
        checks_fence: true,
        slots: Some(8),
        state: State::Live,
    }
}

fn list(version: u64, upstreams: Vec<Upstream>) -> List {
    List {
        version,
        upstreams,
        members: vec![],
    }
}

fn table(engines: u32, now: Instant) -> Table {
    let table = Table::new("here", now);
    table.apply_list(&list(1, (1..=engines).map(engine).collect()), now);
    table
}

fn choose(table: &Table, traffic: Traffic, tried: &[id::Upstream], now: Instant) -> Option<Choice> {
    let service = service();
    let request = RouteRequest {
        service: &service,
        traffic,
        prefix: 3,
        tried: SmallVec::from_slice(tried),
    };
    table.choose(&request, now).ok()
}

fn online(table: &Table, now: Instant) -> Option<Choice> {
    choose(table, Traffic::Online, &[], now)
}

fn error(kind: upstream::Kind) -> upstream::Error {
    upstream::Error {
        upstream: 1,
        ran: Ran::No,
        kind,
    }
}

#[test]
fn choice_counts_as_in_flight_until_dropped() {
    let now = Instant::now();
    let table = table(1, now);

    let first = online(&table, now);
    let second = choose(&table, Traffic::Batch, &[], now);
    let during = [Traffic::Online, Traffic::Batch].map(|traffic| table.in_flight(1, traffic));
    drop((first, second));

    assert_eq!(during, [1, 1]);
    assert_eq!(table.in_flight(1, Traffic::Online), 0);
}

#[test]
fn only_online_counts_are_reported_as_changed() {
    let now = Instant::now();
    let table = table(1, now);

    let batch = choose(&table, Traffic::Batch, &[], now);
    let after_batch = table.take_online_changes();
    let online = online(&table, now);
    let after_online = table.take_online_changes();
    drop((batch, online));
    let after_end = table.take_online_changes();

    assert!(after_batch.is_empty());
    let load = |online| Load {
        upstream: 1,
        online,
    };
    assert_eq!(after_online.as_slice(), [load(1)]);
    assert_eq!(after_end.as_slice(), [load(0)]);
}

#[tokio::test(start_paused = true)]
async fn listener_is_notified_of_change() {
    let now = Instant::now();
    let table = table(2, now);
    let listener = tokio::spawn({
        let table = table.clone();
        async move { table.online_changed().await }
    });

    let choice = online(&table, now).expect("an engine is free");

    let changes = listener.await.unwrap();
    assert_eq!(changes[0].upstream, choice.target.upstream);
}

#[test]
fn counts_survive_change_of_list() {
    let now = Instant::now();
    let table = table(1, now);
    let choice = online(&table, now);

    table.apply_list(&list(2, vec![engine(1), engine(2)]), now);
    let during = table.in_flight(1, Traffic::Online);
    drop(choice);

    assert_eq!(during, 1);
    assert_eq!(table.in_flight(1, Traffic::Online), 0);
}

#[test]
fn tried_upstreams_are_not_chosen_again() {
    let now = Instant::now();
    let table = table(4, now);
    let mut tried = Vec::new();

    while let Some(choice) = choose(&table, Traffic::Online, &tried, now) {
        assert!(!tried.contains(&choice.target.upstream));
        tried.push(choice.target.upstream);
    }

    assert_eq!(tried.len(), 4);
}

#[test]
fn refusal_states_not_run_and_retry_time() {
    let now = Instant::now();
    let table = table(0, now);
    let service = service();
    let request = RouteRequest {
        service: &service,
        traffic: Traffic::Online,
        prefix: 0,
        tried: SmallVec::new(),
    };

    let failure = table.choose(&request, now).expect_err("there is no engine");

    assert_eq!((failure.code, failure.ran), (Code::NoUpstream, Ran::No));
    assert!(failure.retry_at.is_some());
}

#[parameterized(
    another_pool = { Upstream { pools: ["other".to_owned()].into_iter().collect(), ..engine(1) } },
    another_kind = { Upstream { kind: Kind::Plain, ..engine(1) } },
    leaving = { Upstream { state: State::Leaving, ..engine(1) } },
)]
fn unsuitable_upstream_is_not_chosen(upstream: Upstream) {
    let now = Instant::now();
    let table = Table::new("here", now);
    table.apply_list(&list(1, vec![upstream]), now);

    assert!(online(&table, now).is_none());
}

#[test]
fn engine_without_artifact_is_excluded_and_unknown_one_is_last() {
    let now = Instant::now();
    let table = table(3, now);
    let loaded = Report {
        loaded: [artifact()].into_iter().collect(),
        ..Report::default()
    };
    table.record_report(1, Report::default(), now);
    table.record_report(2, loaded, now);

    let chosen: Vec<id::Upstream> = [vec![], vec![2], vec![2, 3]]
        .iter()
        .filter_map(|tried| choose(&table, Traffic::Online, tried, now))
        .map(|choice| choice.target.upstream)
        .collect();

    assert_eq!(chosen, [2, 3]);
}

#[test]
fn leaving_answer_excludes_engine_and_is_sent_to_peers() {
    let now = Instant::now();
    let table = table(2, now);
    let first = online(&table, now).expect("an engine is free");
    let left = first.target.upstream;

    first
        .ticket
        .record_result(Err(&error(upstream::Kind::Leaving)), now);

    let after = online(&table, now).expect("the other one is free");
    assert_ne!(after.target.upstream, left);
    let update = Leaving {
        upstream: left,
        list: 1,
    };
    assert_eq!(table.leaving_updates(now).as_slice(), [update]);
}

#[test]
fn unconfirmed_leaving_expires_without_new_list() {
    let now = Instant::now();
    let table = table(1, now);
    table.apply_leaving(
        Leaving {
            upstream: 1,
            list: 1,
        },
        now,
    );

    assert!(online(&table, now + NOTICE_TTL - Duration::from_secs(1)).is_none());
    assert!(online(&table, now + NOTICE_TTL).is_some());
}

#[test]
fn leaving_report_and_peer_update_both_exclude() {
    let now = Instant::now();
    let table = table(2, now);
    let report = Report {
        leaving: true,
        ..Report::default()
    };

    table.record_report(1, report, now);
    let is_new = table.apply_leaving(
        Leaving {
            upstream: 2,
            list: 1,
        },
        now,
    );

    assert!(is_new);
    assert!(online(&table, now).is_none());
}

#[test]
fn ejected_engine_returns_after_single_probe() {
    let now = Instant::now();
    let table = table(2, now);
    let first = online(&table, now).expect("an engine is free");
    let ejected = first.target.upstream;
    first
        .ticket
        .record_result(Err(&error(upstream::Kind::Connect(String::new()))), now);
    drop(first);
    let other = 3 - ejected;

    let during = online(&table, now).expect("the other one is free");
    let later = now + FIRST_EJECTION;
    let probe = choose(&table, Traffic::Online, &[other], later).expect("it may be probed");
    let concurrent = choose(&table, Traffic::Online, &[], later).expect("the other one is free");

    assert_eq!(during.target.upstream, other);
    assert_eq!((probe.target.upstream, probe.reason), (ejected, "probe"));
    assert_eq!(concurrent.target.upstream, other);
    drop((during, concurrent));
    probe.ticket.record_result(Ok(()), later);
    drop(probe);
    let back = online(&table, later).expect("it is back");
    assert_eq!((back.target.upstream, back.reason), (ejected, "affinity"));
}

#[test]
fn reports_are_polled_in_turn_without_answers() {
    let now = Instant::now();
    let table = table(6, now);

    let polled: Vec<id::Upstream> = (0..6)
        .flat_map(|second| table.next_report_targets(2, now + Duration::from_secs(second)))
        .map(|target| target.upstream)
        .collect();

    assert_eq!(polled, [1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn pressure_counts_own_and_reported_load() {
    let now = Instant::now();
    let table = table(2, now);
    let report = Report {
        running: 8,
        waiting: 3,
        slots: 8,
        loaded: [artifact()].into_iter().collect(),
        ..Report::default()
    };
    table.record_report(1, report, now);
    let _choice = online(&table, now);

    let pressure = table.pressure(&service(), now);

    assert_eq!((pressure.capacity, pressure.load), (16, 12));
}
