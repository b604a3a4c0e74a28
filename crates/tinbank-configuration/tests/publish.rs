//! Publishing returns the verdict on a change, or reports that the outcome is unknown.

#[path = "support/site.rs"]
mod site;
mod support;

use std::time::Duration;

use futures::future::join_all;
use site::{publisher, within};
use support::*;
use tinbank_base::record::config::Record;
use tinbank_configuration::{
    fold::{Fold, Verdict},
    publish::Error,
};
use tinbank_test_support::log::{Fault, Memory};
use tokio::time;
use yare::parameterized;

fn first_template() -> tinbank_base::record::config::Put {
    put(1, template("t"), None, Some(TEMPLATE))
}

/// Counts the changes that a host accepts when it reads the stream.
fn accepted(log: &Memory) -> usize {
    let mut fold = Fold::default();
    let judged: Vec<_> = entries(log)
        .iter()
        .flat_map(|entry| fold.apply(entry))
        .collect();
    judged
        .iter()
        .filter(|judged| matches!(judged.verdict, Verdict::Accepted { .. }))
        .count()
}

#[parameterized(
    after = { Fault::LostAfter },
    before = { Fault::LostBefore },
    late = { Fault::LateEffect(Duration::from_secs(2)) },
    slow = { Fault::SlowAnswer(Duration::from_secs(30)) },
    refused = { Fault::Refused },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_change_is_accepted_once_if_the_append_fails(fault: Fault) {
    let log = Memory::new();
    log.fault_next_append(fault);

    let judged = publisher(&log, 1).put(first_template(), within(20)).await;
    time::sleep(Duration::from_secs(60)).await;

    let judged = judged.unwrap();
    assert!(
        matches!(judged.verdict, Verdict::Accepted { .. }),
        "{judged:?}"
    );
    assert_eq!(accepted(&log), 1);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_published_during_an_outage() {
    let log = Memory::new();
    log.outage(true);

    let result = publisher(&log, 1).put(first_template(), within(10)).await;
    log.outage(false);
    time::sleep(Duration::from_secs(60)).await;

    assert!(
        matches!(result, Err(Error::NotPublished { .. })),
        "{result:?}"
    );
    assert!(entries(&log).is_empty());
}

#[tokio::test(start_paused = true)]
async fn the_outcome_is_unknown_after_an_outage_during_the_append_until_the_change_is_published_again()
 {
    let log = Memory::new();
    log.fault_next_append(Fault::SlowAnswer(Duration::from_secs(5)));
    let mut operator = publisher(&log, 1);
    let outage = async {
        time::sleep(Duration::from_secs(1)).await;
        log.outage(true);
    };

    let (unknown, ()) = tokio::join!(operator.put(first_template(), within(20)), outage);
    log.outage(false);
    let resolved = publisher(&log, 2).put(first_template(), within(20)).await;

    assert!(
        matches!(unknown, Err(Error::Unknown { change: 1, .. })),
        "{unknown:?}"
    );
    let verdict = resolved.map(|judged| judged.verdict);
    assert_eq!(verdict, Ok(Verdict::Accepted { revision: 0 }));
    assert_eq!(accepted(&log), 1);
}

#[tokio::test(start_paused = true)]
async fn a_change_found_after_an_outage_is_not_appended_again() {
    let log = Memory::new();
    log.fault_next_append(Fault::LostAfter);
    let mut operator = publisher(&log, 1);
    let outage = async {
        time::sleep(Duration::from_millis(1)).await;
        log.outage(true);
        time::sleep(Duration::from_secs(12)).await;
        log.outage(false);
    };

    let (judged, ()) = tokio::join!(operator.put(first_template(), within(20)), outage);

    let verdict = judged.map(|judged| judged.verdict);
    assert_eq!(verdict, Ok(Verdict::Accepted { revision: 0 }));
    assert_eq!(
        entries(&log).len(),
        1,
        "the change was appended again although it was found"
    );
}

#[tokio::test(start_paused = true)]
async fn publishing_a_known_change_again_returns_its_first_verdict() {
    let log = Memory::new();
    push_put(&log, 7, first_template());
    let mut operator = publisher(&log, 2);
    operator.load(within(10)).await.unwrap();

    let judged = operator.put(first_template(), within(10)).await;

    let verdict = judged.map(|judged| judged.verdict);
    assert_eq!(verdict, Ok(Verdict::Accepted { revision: 0 }));
}

#[tokio::test(start_paused = true)]
async fn of_concurrent_changes_one_is_accepted_and_the_others_name_its_author() {
    let log = Memory::new();
    push_put(&log, 1, first_template());
    for _ in 0..3 {
        log.fault_next_append(Fault::LostAfter);
    }

    let race = (2..10_u32).map(|number| {
        let mut operator = publisher(&log, number);
        let body = customer_body("t", "key", number);
        let put = put(number.into(), customer("c"), None, Some(&body));
        async move { operator.put(put, within(20)).await.unwrap() }
    });
    let judged = join_all(race).await;

    let winners: Vec<_> = judged
        .iter()
        .filter(|judged| matches!(judged.verdict, Verdict::Accepted { .. }))
        .collect();
    assert_eq!(winners.len(), 1);
    for loser in judged
        .iter()
        .filter(|judged| judged.change != winners[0].change)
    {
        let expected = Verdict::Overtaken {
            current: Some(winners[0].offset),
            by: Some(winners[0].author.clone()),
        };
        assert_eq!(loser.verdict, expected);
    }
}

#[tokio::test(start_paused = true)]
async fn a_trimmed_stream_without_a_checkpoint_is_unreadable() {
    let log = Memory::new();
    push_put(&log, 1, first_template());
    push(
        &log,
        1,
        2,
        vec![Record::Put(put(2, template("u"), None, Some(TEMPLATE)))],
    );
    log.trim(tinbank_base::platform::log::Stream::Config, 1);

    let mut operator = publisher(&log, 3);
    let result = operator.load(within(10)).await.map(|state| state.next());

    assert!(
        matches!(result, Err(Error::Unreadable { .. })),
        "{result:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn an_outage_while_loading_is_reported() {
    let log = Memory::new();
    log.outage(true);

    let mut operator = publisher(&log, 3);
    let result = operator.load(within(10)).await.map(|state| state.next());

    assert!(matches!(result, Err(Error::Unreadable { reason }) if reason.contains("outage")));
}
