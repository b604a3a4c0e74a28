//! The table: what traffic threads and the control thread see of it.

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
use tinbank_routing::{RouteRequest, Choice, Router as _, Table, health::FIRST_EJECTION, leaving::HOLD};
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
    let ask = RouteRequest {
        service: &service,
        traffic,
        prefix: 3,
        tried: SmallVec::from_slice(tried),
    };
    table.choose(&ask, now).ok()
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
fn a_choice_counts_as_in_flight_until_it_is_dropped() {
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
fn changes_of_online_counts_are_told_and_those_of_batch_are_not() {
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
async fn the_listener_wakes_at_a_change() {
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
fn counts_outlive_a_change_of_the_list() {
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
fn upstreams_that_were_tried_are_avoided_to_the_last() {
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
fn a_refusal_promises_that_nothing_ran_and_says_when_to_come_back() {
    let now = Instant::now();
    let table = table(0, now);
    let service = service();
    let ask = RouteRequest {
        service: &service,
        traffic: Traffic::Online,
        prefix: 0,
        tried: SmallVec::new(),
    };

    let failure = table.choose(&ask, now).expect_err("there is no engine");

    assert_eq!((failure.code, failure.ran), (Code::NoUpstream, Ran::No));
    assert!(failure.retry_at.is_some());
}

#[parameterized(
    another_pool = { Upstream { pools: ["other".to_owned()].into_iter().collect(), ..engine(1) } },
    another_kind = { Upstream { kind: Kind::Plain, ..engine(1) } },
    leaving = { Upstream { state: State::Leaving, ..engine(1) } },
)]
fn it_is_no_candidate(upstream: Upstream) {
    let now = Instant::now();
    let table = Table::new("here", now);
    table.apply_list(&list(1, vec![upstream]), now);

    assert!(online(&table, now).is_none());
}

#[test]
fn engines_known_to_lack_the_artifact_get_nothing_and_unheard_ones_come_last() {
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
fn an_engine_that_says_it_leaves_is_out_at_once_and_the_sign_is_passed_on() {
    let now = Instant::now();
    let table = table(2, now);
    let first = online(&table, now).expect("an engine is free");
    let left = first.target.upstream;

    first.ticket.record_result(Err(&error(upstream::Kind::Leaving)), now);

    let after = online(&table, now).expect("the other one is free");
    assert_ne!(after.target.upstream, left);
    let word = Leaving {
        upstream: left,
        list: 1,
    };
    assert_eq!(table.leaving_updates(now).as_slice(), [word]);
}

#[test]
fn a_sign_that_no_list_confirms_ends_without_a_new_list() {
    let now = Instant::now();
    let table = table(1, now);
    table.apply_leaving(
        Leaving {
            upstream: 1,
            list: 1,
        },
        now,
    );

    assert!(online(&table, now + HOLD - Duration::from_secs(1)).is_none());
    assert!(online(&table, now + HOLD).is_some());
}

#[test]
fn a_leaving_report_and_a_peer_s_word_count_alike() {
    let now = Instant::now();
    let table = table(2, now);
    let report = Report {
        leaving: true,
        ..Report::default()
    };

    table.record_report(1, report, now);
    let news = table.apply_leaving(
        Leaving {
            upstream: 2,
            list: 1,
        },
        now,
    );

    assert!(news);
    assert!(online(&table, now).is_none());
}

#[test]
fn an_ejected_engine_returns_by_one_probe_at_a_time() {
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
    let beside = choose(&table, Traffic::Online, &[], later).expect("the other one is free");

    assert_eq!(during.target.upstream, other);
    assert_eq!((probe.target.upstream, probe.reason), (ejected, "probe"));
    assert_eq!(beside.target.upstream, other);
    drop((during, beside));
    probe.ticket.record_result(Ok(()), later);
    drop(probe);
    let back = online(&table, later).expect("it is back");
    assert_eq!((back.target.upstream, back.reason), (ejected, "affinity"));
}

#[test]
fn reports_are_asked_in_turn_though_some_engines_never_answer() {
    let now = Instant::now();
    let table = table(6, now);

    let asked: Vec<id::Upstream> = (0..6)
        .flat_map(|second| table.next_report_targets(2, now + Duration::from_secs(second)))
        .map(|target| target.upstream)
        .collect();

    assert_eq!(asked, [1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 5, 6]);
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
