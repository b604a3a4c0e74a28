//! The log's adapter against the stand-in, under each fault.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use support::{PATIENCE, nowhere, settings, start};
use tinbank_base::platform::log::{Bounds, Error, Log, Page, Stream};
use tinbank_platform::log::Http;
use tinbank_standin::{Settings, Standin, log};

const STREAM: Stream = Stream::Work(3);

async fn fixture(log: log::Settings) -> (Standin, Http) {
    let standin = start(Settings {
        log: Some(log),
        ..Settings::default()
    })
    .await;
    let address = standin.log().expect("it is in the settings").address;
    (standin, Http::new(address))
}

fn soon() -> Instant {
    Instant::now() + PATIENCE
}

fn payloads(page: &Page) -> Vec<&[u8]> {
    page.entries
        .iter()
        .map(|entry| &entry.payload[..])
        .collect()
}

#[tokio::test]
async fn records_are_read_back_in_order_and_as_they_were() {
    let (_standin, log) = fixture(log::Settings::default()).await;
    let every_byte: Vec<u8> = (0..=255).collect();

    let first = log.append(STREAM, every_byte.clone().into()).await;
    let second = log.append(STREAM, Bytes::new()).await;
    let other = log.append(Stream::Config, Bytes::from_static(b"c")).await;
    let page = log
        .read(STREAM, 0, 1 << 20, soon())
        .await
        .expect("it is up");
    let bounds = log.bounds(STREAM).await;

    assert_eq!((first, second, other), (Ok(0), Ok(1), Ok(0)));
    assert_eq!(payloads(&page), [&every_byte[..], b""]);
    assert_eq!((page.next, page.tail), (2, 2));
    assert_eq!(bounds, Ok(Bounds { first: 0, tail: 2 }));
}

#[tokio::test]
async fn a_read_at_the_tail_waits_for_the_next_record() {
    let (_standin, log) = fixture(log::Settings::default()).await;

    let read = log.read(STREAM, 0, 100, soon());
    let append = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        log.append(STREAM, Bytes::from_static(b"late")).await
    };
    let (page, appended) = tokio::join!(read, append);

    assert_eq!(appended, Ok(0));
    assert_eq!(payloads(&page.expect("it is up")), [b"late"]);
}

#[tokio::test]
async fn a_read_at_the_tail_gives_an_empty_page_at_its_deadline() {
    let (_standin, log) = fixture(log::Settings::default()).await;

    let page = log
        .read(STREAM, 0, 100, Instant::now() + Duration::from_millis(10))
        .await;

    assert_eq!(page, Ok(Page::default()));
}

#[tokio::test]
async fn appends_over_the_rate_are_told_when_to_come_back() {
    let (_standin, log) = fixture(log::Settings {
        appends_per_second: 0.01,
        burst: 1.0,
        ..log::Settings::default()
    })
    .await;

    let first = log.append(STREAM, Bytes::new()).await;
    let second = log.append(STREAM, Bytes::new()).await;
    let bounds = log.bounds(STREAM).await;

    assert_eq!(first, Ok(0));
    let Err(Error::Throttled { retry_at }) = second else {
        panic!("{second:?}");
    };
    let wait = retry_at
        .duration_since(std::time::SystemTime::now())
        .expect("it lies ahead");
    assert!(
        wait > Duration::from_secs(60) && wait <= Duration::from_secs(100),
        "{wait:?}"
    );
    assert_eq!(bounds, Ok(Bounds { first: 0, tail: 1 }));
}

#[tokio::test]
async fn records_that_are_too_large_or_trimmed_are_said_so() {
    let (_standin, log) = fixture(log::Settings {
        max_record_bytes: 4,
        retention_bytes: 4,
        ..log::Settings::default()
    })
    .await;

    let large = log.append(STREAM, Bytes::from_static(b"12345")).await;
    for _ in 0..2 {
        log.append(STREAM, Bytes::from_static(b"1234"))
            .await
            .expect("it fits");
    }
    let old = log.read(STREAM, 0, 100, soon()).await;

    assert_eq!(large, Err(Error::TooLarge { size: 5, limit: 4 }));
    assert_eq!(old, Err(Error::Trimmed { first: 1 }));
}

#[tokio::test]
async fn a_refused_connection_had_no_effect() {
    let log = Http::new(nowhere());

    let append = log.append(STREAM, Bytes::new()).await;
    let read = log.read(STREAM, 0, 100, soon()).await;
    let bounds = log.bounds(STREAM).await;

    assert!(matches!(append, Err(Error::Unavailable(_))), "{append:?}");
    assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
    assert!(matches!(bounds, Err(Error::Unavailable(_))), "{bounds:?}");
}

#[tokio::test]
async fn an_outage_refuses_without_effect_and_ends() {
    let (standin, log) = fixture(log::Settings::default()).await;
    let faults = &standin.log().expect("it is in the settings").faults;

    faults.change(|fault| fault.outage = true);
    let refused = log.append(STREAM, Bytes::new()).await;
    let unread = log.read(STREAM, 0, 100, soon()).await;
    faults.change(|fault| fault.outage = false);
    let bounds = log.bounds(STREAM).await;

    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    assert!(matches!(unread, Err(Error::Unavailable(_))), "{unread:?}");
    assert_eq!(bounds, Ok(Bounds { first: 0, tail: 0 }));
}

#[tokio::test]
async fn a_lost_answer_is_unknown_though_the_record_stands() {
    let (standin, log) = fixture(log::Settings::default()).await;
    let faults = &standin.log().expect("it is in the settings").faults;

    faults.change(|fault| fault.lose_next = 1);
    let lost = log.append(STREAM, Bytes::new()).await;
    let again = log.append(STREAM, Bytes::new()).await;

    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    assert_eq!(again, Ok(1));
}

#[tokio::test]
async fn losses_by_probability_are_the_same_every_run() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let (standin, log) = fixture(log::Settings::default()).await;
        let faults = &standin.log().expect("it is in the settings").faults;
        faults.change(|fault| fault.lose_probability = 0.5);
        let mut lost = Vec::new();
        for _ in 0..12 {
            lost.push(log.append(STREAM, Bytes::new()).await.is_err());
        }
        runs.push(lost);
    }

    assert_eq!(runs[0], runs[1]);
    assert!(
        runs[0].contains(&true) && runs[0].contains(&false),
        "{:?}",
        runs[0]
    );
}

#[tokio::test]
async fn a_killed_log_breaks_what_waits_and_comes_back_with_its_records() {
    let (standin, log) = fixture(log::Settings::default()).await;
    let faults = &standin.log().expect("it is in the settings").faults;
    log.append(STREAM, Bytes::from_static(b"kept"))
        .await
        .expect("it is up");

    let read = log.read(STREAM, 1, 100, soon());
    let kill = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        faults.change(|fault| fault.killed = true);
    };
    let (broken, ()) = tokio::join!(read, kill);
    support::eventually("refusal", async || {
        matches!(
            log.append(STREAM, Bytes::new()).await,
            Err(Error::Unavailable(_))
        )
    })
    .await;
    faults.change(|fault| fault.killed = false);
    support::eventually("return", async || log.bounds(STREAM).await.is_ok()).await;
    let page = log.read(STREAM, 0, 100, soon()).await.expect("it is back");

    assert!(matches!(broken, Err(Error::Unavailable(_))), "{broken:?}");
    assert_eq!(payloads(&page)[0], b"kept");
}

#[tokio::test]
async fn a_paused_log_answers_when_it_goes_on() {
    let (standin, log) = fixture(log::Settings::default()).await;
    let faults = &standin.log().expect("it is in the settings").faults;

    faults.change(|fault| fault.paused = true);
    let append = log.append(STREAM, Bytes::new());
    let resume = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        faults.change(|fault| fault.paused = false);
    };
    let (appended, ()) = tokio::join!(append, resume);

    assert_eq!(appended, Ok(0));
}

#[tokio::test]
async fn a_slow_log_takes_effect_late() {
    let (standin, log) = fixture(log::Settings::default()).await;
    let faults = &standin.log().expect("it is in the settings").faults;
    let slow = Duration::from_millis(30);

    faults.change(|fault| fault.slow = slow);
    let begun = Instant::now();
    let appended = log.append(STREAM, Bytes::new()).await;

    assert_eq!(appended, Ok(0));
    // A lower bound holds on any machine.
    assert!(begun.elapsed() >= slow);
}

#[tokio::test]
async fn all_services_stop_with_calls_in_flight() {
    let standin = start(settings()).await;
    let log = Http::new(standin.log().expect("it is in the settings").address);

    let read = tokio::spawn(async move { log.read(STREAM, 0, 100, soon()).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    let stopped = tokio::time::timeout(PATIENCE, standin.stop()).await;

    assert_eq!(stopped, Ok(()));
    let read = read.await.expect("it does not panic");
    assert!(matches!(read, Err(Error::Unavailable(_))), "{read:?}");
}
