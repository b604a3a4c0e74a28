//! Following of the configuration during outages, with slow logs and with trimmed streams, in virtual time.

#[path = "support/site.rs"]
mod site;
mod support;

use std::time::Duration;

use site::{Site, within};
use support::*;
use tinbank_base::{id, platform::log::Stream, record::config::Record};
use tinbank_configuration::{
    Follower,
    fold::{Verdict, checkpoint::Policy},
    follower::{Progress, Settings},
};
use tinbank_test_support::log::Memory;
use tokio::time;

/// Creates a log with a template and `customers` customers.
fn filled(customers: u64) -> Memory {
    let log = Memory::new();
    push_put(&log, 1, put(1, template("t"), None, Some(TEMPLATE)));
    for number in 0..customers {
        add_customer(&log, number);
    }
    log
}

fn add_customer(log: &Memory, number: u64) -> id::Offset {
    let change = 100 + u128::from(number);
    let body = customer_body("t", &format!("key {number}"), 1);
    let object = customer(&format!("c{number}"));
    push_put(log, 100 + number, put(change, object, None, Some(&body)))
}

async fn sleep_seconds(seconds: u64) {
    time::sleep(Duration::from_secs(seconds)).await;
}

fn progress(follower: &Follower) -> Progress {
    *follower.progress().borrow()
}

fn ready_at(next: id::Offset) -> Progress {
    Progress { next, ready: true }
}

fn checkpoints(log: &Memory) -> usize {
    let records = log
        .envelopes::<Record>(Stream::Config)
        .into_iter()
        .flat_map(|envelope| envelope.records);
    records
        .filter(|record| matches!(record, Record::Checkpoint { .. }))
        .count()
}

fn frequent_checkpoints() -> Settings {
    Settings {
        checkpoint: Policy {
            changes: 3,
            ..Policy::default()
        },
        checkpoint_check_interval: Duration::from_secs(10),
        ..Settings::default()
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_active_on_all_hosts_in_less_than_a_second() {
    let log = filled(2);
    let site = Site::default();
    let hosts = [
        site.start(&log, Settings::default()).await,
        site.start(&log, Settings::default()).await,
    ];
    sleep_seconds(1).await;
    let began = time::Instant::now();

    let offset = add_customer(&log, 7);
    for host in &hosts {
        let mut progress = host.progress();
        let reached = progress.wait_for(|progress| progress.next > offset).await;
        assert_eq!(*reached.unwrap(), ready_at(offset + 1));
        assert!(host.snapshot().by_key("key 7").is_some());
    }

    assert!(began.elapsed() < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn a_host_with_an_empty_stream_is_ready() {
    let site = Site::default();

    let host = site.start(&Memory::new(), Settings::default()).await;
    sleep_seconds(2).await;

    assert_eq!(progress(&host), ready_at(0));
}

#[tokio::test(start_paused = true)]
async fn a_host_that_starts_during_an_outage_without_peers_is_not_ready() {
    let log = filled(2);
    log.outage(true);
    let site = Site::default();
    let host = site.start(&log, Settings::default()).await;

    sleep_seconds(60).await;
    let during = progress(&host);
    log.outage(false);
    sleep_seconds(5).await;

    assert_eq!(during, Progress::default());
    assert_eq!(progress(&host), ready_at(3));
}

#[tokio::test(start_paused = true)]
async fn a_host_that_starts_during_an_outage_gets_the_newest_state_of_its_peers() {
    let log = filled(20);
    let site = Site::default();
    // Without recent entries, the first host has to answer with a synthetic checkpoint.
    let no_history = Settings {
        history_bytes: 0,
        ..Settings::default()
    };
    let first = site.start(&log, no_history).await;
    sleep_seconds(2).await;
    log.outage(true);

    let second = site.start(&log, Settings::default()).await;
    sleep_seconds(10).await;
    let third = site.start(&log, Settings::default()).await;
    sleep_seconds(10).await;
    let during = [progress(&second), progress(&third)];
    log.outage(false);
    let offset = add_customer(&log, 50);
    sleep_seconds(5).await;

    assert_eq!(progress(&first), ready_at(offset + 1));
    assert_eq!(during, [ready_at(21), ready_at(21)]);
    for host in [&second, &third] {
        assert_eq!(progress(host), ready_at(offset + 1));
        assert_eq!(host.snapshot(), first.snapshot());
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_with_a_slow_log_receives_changes_from_its_peers() {
    let log = filled(2);
    let site = Site::default();
    let quick = site.start(&log, Settings::default()).await;
    let slow_log = filled(2);
    let slow = site.start(&slow_log, Settings::default()).await;
    sleep_seconds(2).await;
    slow_log.delay(Duration::from_secs(60));

    let offset = add_customer(&log, 7);
    sleep_seconds(1).await;

    assert_eq!(progress(&quick), ready_at(offset + 1));
    assert_eq!(progress(&slow), ready_at(offset + 1));
    assert_eq!(quick.snapshot(), slow.snapshot());
}

#[tokio::test(start_paused = true)]
async fn older_entries_of_a_peer_do_not_change_the_state() {
    let log = filled(5);
    let site = Site::default();
    let host = site.start(&log, Settings::default()).await;
    sleep_seconds(2).await;
    let old = Site::default().start(&filled(1), Settings::default()).await;
    sleep_seconds(2).await;
    let before = host.snapshot();

    for response in old.serve(0).await {
        let tinbank_base::frame::request::Response::Config(entries) = response else {
            panic!("{response:?}");
        };
        host.apply_from_peer(entries).await;
    }
    sleep_seconds(2).await;

    assert_eq!(host.snapshot(), before);
    assert_eq!(progress(&host), ready_at(6));
}

#[tokio::test(start_paused = true)]
async fn a_new_host_starts_from_a_checkpoint_if_the_stream_was_trimmed() {
    let log = filled(10);
    let site = Site::default();
    let old = site.start(&log, frequent_checkpoints()).await;
    sleep_seconds(30).await;
    let first = 11;
    log.trim(Stream::Config, first);

    let fresh = Site::default().start(&log, Settings::default()).await;
    sleep_seconds(5).await;

    assert_eq!(
        checkpoints(&log),
        1,
        "a checkpoint was written without new changes"
    );
    assert_eq!(progress(&fresh), ready_at(12));
    assert_eq!(fresh.snapshot(), old.snapshot());
}

#[tokio::test(start_paused = true)]
async fn an_old_checkpoint_is_replaced_even_without_changes() {
    let log = filled(1);
    let settings = Settings {
        checkpoint: Policy {
            after: Duration::from_secs(3_600),
            ..Policy::default()
        },
        checkpoint_check_interval: Duration::from_secs(60),
        ..Settings::default()
    };
    Site::default().start(&log, settings).await;

    // The changes of the fixture are already older than an hour.
    sleep_seconds(10 * 3_600).await;

    let written = checkpoints(&log);
    assert!((8..=11).contains(&written), "{written} in ten hours");
}

#[tokio::test(start_paused = true)]
async fn of_many_hosts_only_one_writes_a_checkpoint() {
    let log = filled(10);
    let site = Site::default();
    for _ in 0..12 {
        site.start(&log, frequent_checkpoints()).await;
    }

    sleep_seconds(60).await;

    assert_eq!(checkpoints(&log), 1);
}

#[tokio::test(start_paused = true)]
async fn without_a_checkpoint_a_new_host_needs_a_peer_to_become_ready() {
    let log = filled(10);
    let site = Site::default();
    let old = site.start(&log, Settings::default()).await;
    sleep_seconds(2).await;
    log.trim(Stream::Config, 4);

    let alone = Site::default().start(&log, Settings::default()).await;
    let connected = site.start(&log, Settings::default()).await;
    sleep_seconds(5).await;

    assert_eq!(progress(&alone), Progress::default());
    assert_eq!(progress(&connected), ready_at(11));
    assert_eq!(connected.snapshot(), old.snapshot());
}

#[tokio::test(start_paused = true)]
async fn a_trimmed_checkpoint_is_replaced_immediately() {
    let log = filled(10);
    let settings = Settings {
        checkpoint_check_interval: Duration::from_secs(10),
        ..Settings::default()
    };
    Site::default().start(&log, settings).await;
    sleep_seconds(2).await;
    log.trim(Stream::Config, 4);

    sleep_seconds(30).await;
    let fresh = Site::default().start(&log, Settings::default()).await;
    sleep_seconds(5).await;

    assert_eq!(checkpoints(&log), 1);
    assert_eq!(progress(&fresh), ready_at(12));
}

#[tokio::test(start_paused = true)]
async fn the_active_configuration_is_kept_during_an_outage() {
    let log = filled(3);
    let host = Site::default().start(&log, Settings::default()).await;
    sleep_seconds(2).await;
    let before = host.snapshot();

    log.outage(true);
    sleep_seconds(600).await;

    assert_eq!(host.snapshot(), before);
    assert_eq!(progress(&host), ready_at(4));
}

#[tokio::test(start_paused = true)]
async fn an_operator_receives_the_verdict_while_hosts_follow_the_stream() {
    let log = filled(1);
    let host = Site::default().start(&log, Settings::default()).await;
    let mut publisher = site::publisher(&log, 1);
    let state = publisher.load(within(10)).await.unwrap();
    let base = state.get(&customer("c0")).map(|held| held.revision);
    let body = customer_body("t", "another key", 5);

    let judged = publisher
        .put(put(9, customer("c0"), base, Some(&body)), within(10))
        .await
        .unwrap();
    sleep_seconds(1).await;

    assert_eq!(judged.verdict, Verdict::Accepted { revision: 2 });
    assert_eq!(host.snapshot().customers["c0"].share, 5);
}
