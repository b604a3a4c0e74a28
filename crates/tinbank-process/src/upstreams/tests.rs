//! How often engines are asked for their report, under virtual time.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use tinbank_base::{
    id,
    platform::{
        hosts::{self, List, State},
        upstream::{Call, Error, Order, Parts, Report, Target, Upstreams, Verdict},
    },
};
use tinbank_routing::Table;
use tokio::time;

use super::reports;

/// Counts the questions; asks for anything else never come back.
#[derive(Debug, Default)]
struct Counting(Mutex<Vec<(id::Upstream, Instant)>>);

#[async_trait]
impl Upstreams for Counting {
    async fn chat(&self, _target: Target, _call: Call) -> Result<Parts, Error> {
        std::future::pending().await
    }

    async fn call(&self, _target: Target, _call: Call) -> Result<Bytes, Error> {
        std::future::pending().await
    }

    async fn cancel(&self, _target: Target, _request: id::Request) -> Result<(), Error> {
        std::future::pending().await
    }

    async fn report(&self, target: Target) -> Result<Report, Error> {
        let now = time::Instant::now().into_std();
        self.0.lock().unwrap().push((target.upstream, now));
        Ok(Report::default())
    }

    async fn order(&self, _target: Target, _order: Order) -> Result<Verdict, Error> {
        std::future::pending().await
    }
}

fn engines(count: u32) -> List {
    let engine = |number: u32| hosts::Upstream {
        upstream: number,
        name: format!("engine-{number}"),
        kind: hosts::Kind::Engine,
        pools: ["pool".to_owned()].into_iter().collect(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        failure_domain: "here".to_owned(),
        checks_fence: false,
        slots: None,
        state: State::Live,
    };
    List {
        version: 1,
        upstreams: (1..=count).map(engine).collect(),
        members: vec![],
    }
}

#[tokio::test(start_paused = true)]
async fn new_engines_are_asked_at_once_and_then_so_many_a_second_however_many_there_are() {
    const ENGINES: u32 = 20;
    const PER_SECOND: u32 = 2;
    let start = time::Instant::now().into_std();
    let table = Table::new("here", start);
    table.apply_list(&engines(ENGINES), start);
    let counting = Arc::new(Counting::default());
    tokio::spawn(reports::ask(counting.clone(), table, PER_SECOND));

    time::sleep(Duration::from_secs(33)).await;

    let asked = counting.0.lock().unwrap();
    let within = |from: u64, until: u64| {
        let (from, until) = (Duration::from_secs(from), Duration::from_secs(until));
        let times = asked.iter().map(|(_, at)| *at - start);
        times.filter(|at| (from..until).contains(at)).count()
    };
    let mut early: Vec<_> = asked
        .iter()
        .filter(|(_, at)| *at - start < Duration::from_secs(3))
        .map(|(upstream, _)| *upstream)
        .collect();
    early.sort_unstable();
    early.dedup();
    assert_eq!(early.len() as u32, ENGINES);
    assert_eq!(within(13, 33), 20 * PER_SECOND as usize);
}
