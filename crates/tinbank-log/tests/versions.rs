//! Records that this build can't read: the stream goes on, and each one is counted by its reason.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use tinbank_base::{
    clock::Stamp,
    id,
    platform::log::Stream,
    record::{Envelope, Error, Writer, envelope},
};
use tinbank_log::reader::{Event, Reader, Settings};
use tinbank_test_support::log::Memory;

const STREAM: Stream = Stream::Work(0);
const SKIPPED: &str = "tinbank_log_entries_skipped_total";

#[tokio::test(start_paused = true)]
async fn what_cant_be_read_is_counted_by_its_reason_and_the_stream_goes_on() {
    let counts = Counts::default();
    let _guard = metrics::set_default_local_recorder(&counts);
    let log = Memory::new();
    log.push(STREAM, later(payload(1)));
    log.push(STREAM, Bytes::new());
    log.push(STREAM, Bytes::from_static(b"\x01\xff"));
    log.push(STREAM, payload(2));
    let mut reader = Reader::<u64>::new(Arc::new(log), STREAM, 0, Settings::default());

    let mut errors = Vec::new();
    let read = loop {
        match reader.next().await {
            Event::Skipped { error, .. } => errors.push(error),
            Event::Record { entry, envelope } => break (entry.offset, envelope.records),
            event => panic!("{event:?}"),
        }
    };

    assert_eq!(read, (3, vec![2]));
    assert_eq!(errors[0], Error::Version(envelope::VERSION + 1));
    for reason in ["version", "empty", "malformed"] {
        assert_eq!(counts.of(SKIPPED, reason), 1, "{reason}");
    }
}

fn payload(number: u64) -> Bytes {
    let process = id::Process {
        host: 1,
        role: id::Role::Batch,
    };
    Envelope {
        writer: Writer {
            process,
            incarnation: 1,
        },
        sequence: number,
        stamp: Stamp::default(),
        records: vec![number],
    }
    .encode()
}

fn later(payload: Bytes) -> Bytes {
    let mut payload = payload.to_vec();
    payload[0] = envelope::VERSION + 1;
    payload.into()
}

/// Counters by name and the value of their only label.
#[derive(Default)]
struct Counts {
    counters: Mutex<BTreeMap<(String, String), Arc<AtomicU64>>>,
}

impl Counts {
    fn of(&self, name: &str, label: &str) -> u64 {
        let counters = self.counters.lock().expect("no holder panics");
        let counter = counters.get(&(name.to_owned(), label.to_owned()));
        counter.map_or(0, |counter| counter.load(Ordering::SeqCst))
    }
}

impl Recorder for Counts {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let label = key.labels().map(|label| label.value().to_owned()).collect();
        let mut counters = self.counters.lock().expect("no holder panics");
        let counter = counters.entry((key.name().to_owned(), label)).or_default();
        Counter::from_arc(counter.clone())
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}
