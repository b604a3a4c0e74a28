//! The choice of an engine: time and bytes as engines grow.

use std::time::{Duration, Instant};

use smallvec::{SmallVec, smallvec};
use tinbank_base::{
    id,
    platform::{
        hosts::{Kind, List, State, Upstream},
        upstream::Report,
        weights::Artifact,
    },
};
use tinbank_configuration::{service::Service, template::Traffic};
use tinbank_routing::{RouteRequest, Router, Table};

use super::{Allocated, Point, Series, micros, point, processor_time, weight};

const SIZES: [usize; 4] = [12, 60, 300, 600];
const CHOICES: u64 = 2_000;

pub(super) fn choice() -> Series {
    let points = points(|engines| {
        let table = table(engines);
        micros(processor_time(|| (), |()| choose_some(&table))) / CHOICES as f64
    });
    Series::new(
        "routing choice",
        "engine of the pool, at each choice",
        "µs",
        points,
    )
}

pub(super) fn bytes(allocated: Allocated) -> Series {
    let points = points(|engines| weight(allocated, || table(engines)));
    Series::new("routing bytes", "engine", "bytes", points)
}

fn points(measure: impl Fn(usize) -> f64) -> Vec<Point> {
    SIZES
        .iter()
        .map(|engines| point(*engines, measure(*engines)))
        .collect()
}

fn choose_some(table: &Table) {
    let service = service();
    let now = Instant::now();
    for prefix in 0..CHOICES {
        let ask = RouteRequest {
            service: &service,
            traffic: Traffic::Online,
            prefix: prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            tried: SmallVec::new(),
        };
        let choice = table.choose(&ask, now);
        assert!(choice.is_ok(), "all engines are up");
        std::hint::black_box(choice.ok());
    }
}

fn table(engines: usize) -> Table {
    let now = Instant::now();
    let table = Table::new("north", now);
    let upstreams: Vec<_> = (1..=engines).map(upstream).collect();
    let list = List {
        version: 1,
        upstreams,
        members: Vec::new(),
    };
    table.apply_list(&list, now);
    for engine in &list.upstreams {
        table.record_report(engine.upstream, report(), now);
    }
    table
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        upstream: number as id::Upstream,
        name: format!("engine-{number}"),
        kind: Kind::Engine,
        pools: smallvec!["notes".to_owned()],
        address: ([127, 0, 0, 1], 9_000).into(),
        failure_domain: if number.is_multiple_of(2) {
            "north"
        } else {
            "south"
        }
        .to_owned(),
        checks_fence: true,
        slots: Some(8),
        state: State::Live,
    }
}

fn report() -> Report {
    Report {
        slots: 8,
        loaded: smallvec![artifact()],
        ..Report::default()
    }
}

fn artifact() -> Artifact {
    Artifact {
        model: "m".into(),
        version: "1".into(),
        adapter: None,
    }
}

fn service() -> Service {
    Service {
        kind: Kind::Engine,
        pool: "notes".into(),
        artifact: Some(artifact()),
        max_tokens: 64,
        timeout: Duration::from_secs(30),
        repeatable: true,
        attempts: 4,
        limits: Default::default(),
    }
}
