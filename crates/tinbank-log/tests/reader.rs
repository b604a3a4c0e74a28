//! The reader against a log with faults, in virtual time.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tinbank_base::{
    clock::Stamp,
    id,
    platform::log::Stream,
    record::{Envelope, Writer},
};
use tinbank_log::reader::{Event, Reader, Settings};
use tinbank_test_support::log::Memory;
use tokio::time;

const STREAM: Stream = Stream::Work(0);

fn payload(number: u64) -> Bytes {
    let envelope = Envelope {
        writer: Writer {
            process: id::Process {
                host: 1,
                role: id::Role::Batch,
            },
            incarnation: 1,
        },
        sequence: number,
        stamp: Stamp::default(),
        records: vec![number],
    };
    envelope.encode()
}

fn filled(numbers: u64) -> Memory {
    let log = Memory::new();
    for number in 0..numbers {
        log.push(STREAM, payload(number));
    }
    log
}

fn reader(log: &Memory, from: id::Offset) -> Reader<u64> {
    let settings = Settings {
        page_bytes: 40,
        ..Settings::default()
    };
    Reader::new(Arc::new(log.clone()), STREAM, from, settings)
}

/// Reads up to the tail; describes each event.
async fn read(reader: &mut Reader<u64>) -> Vec<String> {
    let mut seen = Vec::new();
    loop {
        match reader.next().await {
            Event::Record { entry, envelope } => {
                seen.push(format!("{}={}", entry.offset, envelope.records[0]));
            }
            Event::Skipped { entry, .. } => seen.push(format!("{}=skipped", entry.offset)),
            Event::Trimmed { first } => seen.push(format!("trimmed to {first}")),
            Event::Outage { .. } => seen.push("outage".to_owned()),
            Event::Tail { next, .. } => {
                seen.push(format!("tail {next}"));
                return seen;
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn entries_come_in_order_over_pages_and_bad_ones_are_passed_over() {
    let log = filled(3);
    log.push(STREAM, Bytes::from_static(b"\x01not ours"));
    log.push(STREAM, payload(4));
    let mut reader = reader(&log, 1);

    let seen = read(&mut reader).await;

    assert_eq!(seen, ["1=1", "2=2", "3=skipped", "4=4", "tail 5"]);
    assert!(reader.at_tail());
}

#[tokio::test(start_paused = true)]
async fn each_quiet_read_proves_the_silence() {
    let log = filled(0);
    let mut reader = reader(&log, 0);
    let Event::Tail { asked: first, .. } = reader.next().await else {
        panic!("an empty stream is at its tail");
    };

    let Event::Tail { asked: second, .. } = reader.next().await else {
        panic!("it stays there");
    };

    assert_eq!(second - first, Settings::default().wait);
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_told_and_proves_no_silence() {
    let log = filled(1);
    let mut reader = reader(&log, 0);
    read(&mut reader).await;
    log.outage(true);
    let began = time::Instant::now();
    let mut outages = 0;
    while began.elapsed() < Duration::from_secs(20) {
        let event = reader.next().await;
        assert!(matches!(event, Event::Outage { .. }), "{event:?}");
        assert!(!reader.at_tail());
        outages += 1;
    }
    log.outage(false);
    let back = time::Instant::now().into_std();

    let event = reader.next().await;

    assert!(outages < 40, "it backs off: {outages} reads in 20 s");
    assert!(matches!(event, Event::Tail { next: 1, asked } if asked >= back));
}

#[tokio::test(start_paused = true)]
async fn a_trimmed_stream_goes_on_from_its_first_record() {
    let log = filled(5);
    log.trim(STREAM, 3);
    let mut reader = reader(&log, 1);

    let seen = read(&mut reader).await;

    assert_eq!(seen, ["trimmed to 3", "3=3", "4=4", "tail 5"]);
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_is_shorter_than_what_was_read_is_not_followed_back() {
    let log = filled(2);
    let mut reader = reader(&log, 4);

    let event = reader.next().await;

    assert!(matches!(event, Event::Outage { .. }), "{event:?}");
    assert_eq!(reader.position(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_dropped_wait_loses_nothing() {
    let log = filled(1);
    let mut reader = reader(&log, 0);
    read(&mut reader).await;
    for number in 1..4 {
        let wait = time::timeout(Duration::from_millis(300), reader.next());
        assert!(wait.await.is_err(), "nothing new");
        log.push(STREAM, payload(number));

        let event = reader.next().await;

        let Event::Record { entry, .. } = event else {
            panic!("{event:?}");
        };
        assert_eq!(entry.offset, number);
        assert!(matches!(reader.next().await, Event::Tail { .. }));
    }
}
